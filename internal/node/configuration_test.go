package node

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/nodeconfig"
)

// contentOf is what a config holds of what may change in service.
func contentOf(t *testing.T, p *nodeconfig.Config) *configsync.Content {
	found, _ := nodeconfig.Diff(nil, p)
	var items []configsync.Item
	for i := range found {
		items = append(items, configsync.Item(found[i]))
	}
	content, err := new(configsync.Content).Apply(items)
	require.NoError(t, err)
	return content
}

// configuredNode is a node that serves, with the only seat of its council and its configuration in service; start changes what it
// begins with.
func configuredNode(t *testing.T, to Addresses, start func(file *configsync.Content) configsync.InitialState) (*StateMachine, error) {
	p, err := nodeconfig.FromJSON(1, []byte(settings))
	require.NoError(t, err)
	r := NewStateMachine(p, to, 5_000*ms, 4, 3)
	r.JoinFleet("mobilier", membership.New(config, 0, 1, 0, 1))
	r.EnableConsensus([]string{"n1"}, 1<<20, 0, 1)
	file := contentOf(t, p)
	err = r.EnableConfigSync(0, 1, start(file), file)
	return r, err
}

func servingNode(t *testing.T, r *StateMachine) (effects []Effect) {
	effects = step(r, Input{Kind: ConnectionOpened, Link: 7})
	step(r, Input{Kind: ExecutorConnected, Link: r.executor.dialingLink})
	told(r, "WELCOME old 0")
	told(r, "METERS j1 0.1 1 0.1 3")
	for r.claiming.seat.Leader() == "" {
		step(r)
	}
	return effects
}

func fromFile(file *configsync.Content) configsync.InitialState {
	return configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()}, Content: file, Source: "file", Journal: -1}
}

// questioned is a node's answer to a question, with all effects up to it.
func questioned(t *testing.T, r *StateMachine, q *configsync.Query) (a *configsync.Answer, all []Effect) {
	text, err := envelope.Seal(nil, envelope.FleetOf("mobilier"), EncodeConfigQuery(q))
	require.NoError(t, err)
	in := []Input{{Kind: PeerRequestReceived, Link: 3, From: "10.0.0.9:9", Bytes: text}}
	for range 3_000 {
		r.executor.lastLineAt, r.connections.byLink[7].lastUsedAt = r.now, r.now
		effects := step(r, in...)
		in = nil
		all = append(all, effects...)
		for _, e := range effects {
			if e.Kind == ReplyToExchange && e.Link == 3 {
				a, err = DecodeConfigAnswer(e.Bytes, envelope.FleetOf("mobilier"))
				require.NoError(t, err)
				return a, all
			}
		}
	}
	t.Fatal("no answer")
	return nil, nil
}

// put has changes ordered on a version, and steps on until that version or a refusal of it shows.
func put(t *testing.T, r *StateMachine, from string, base uint64, items ...nodeconfig.Item) (v *configsync.Verdict, all []Effect) {
	c := &configsync.Command{Kind: configsync.Put, From: from, Seq: 1, Base: base}
	for _, i := range items {
		if len(i.Value) > 0 {
			var err error
			i.Value, err = configsync.Canonical(i.Value)
			require.NoError(t, err)
		}
		c.Changes = append(c.Changes, configsync.Item(i))
	}
	a, all := questioned(t, r, &configsync.Query{Kind: configsync.Propose, Command: c})
	require.NotNil(t, a.Verdict, a.Why)
	for range 50 {
		if !a.Verdict.Done || r.ConfigSyncState().Version >= a.Verdict.Version || r.ConfigSyncState().Refused >= a.Verdict.Version {
			break
		}
		all = append(all, step(r)...)
	}
	return a.Verdict, append(all, step(r)...)
}

// settle lets time pass until nothing stands at the first stage.
func settle(t *testing.T, r *StateMachine) {
	for range 100 {
		if head := r.configSync.agreed.Head; head.All.Version == head.Newest {
			return
		}
		pass(r, 50*ms)
	}
	t.Fatal("a version stands at the first stage for good")
}

// allOf is the file's content as items.
func allOf(r *StateMachine) (items []nodeconfig.Item) {
	for i := range r.configSync.holder.Content().All {
		items = append(items, nodeconfig.Item(i))
	}
	return items
}

func TestVersionComesIntoForceWithWorkInHand(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, fromFile)
	require.NoError(t, err)
	first := kindsOf(servingNode(t, r), ReportVersionInForce)
	require.Len(t, first, 1, "what it starts with is told")
	assert.Equal(t, "file", first[0].InForce.Source)
	v, _ := put(t, r, "a", 0, allOf(r)...)
	require.True(t, v.Done, v.Refused)

	settle(t, r)
	assert.Equal(t, 1, runsOf(step(r, coming(r, 1, "op", "hold"))))
	v, effects := put(t, r, "b", 1, removed(nodeconfig.Operations, "hold"), operation("new", ""))
	require.True(t, v.Done, v.Refused)
	in := kindsOf(effects, ReportVersionInForce)
	require.Len(t, in, 1)
	assert.Equal(t, VersionInForce{Mark: r.configSync.holder.Revision(), After: 1, Source: "fleet", First: true, Added: 1, Removed: 1,
		TookNS: in[0].InForce.TookNS}, *in[0].InForce)
	kept := kindsOf(effects, PersistVersion)
	require.Len(t, kept, 1)
	assert.Equal(t, uint64(2), kept[0].Persisting.Mark.Version)
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, coming(r, 2, "op", "hold"))))
	assert.Equal(t, 1, runsOf(step(r, coming(r, 3, "op", "new"))))
	assert.Equal(t, []string{"20 on 1"}, answers(t, ran(r, 1)), "what was in hand ends as it began")

	v, _ = put(t, r, "c", 1, tenant("x", 3))
	assert.True(t, v.Stale)
	assert.ElementsMatch(t, []configsync.Item{{Part: nodeconfig.Operations, Name: "hold"}, {Part: nodeconfig.Operations, Name: "new"}}, v.Differ)
	again, _ := put(t, r, "b", 7, operation("other", ""))
	assert.Equal(t, uint64(2), again.Version, "the same request has the same verdict")
}

func TestPutIsCheckedBeforeItIsOrdered(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, fromFile)
	require.NoError(t, err)
	servingNode(t, r)
	for _, c := range []struct {
		item nodeconfig.Item
		want string
	}{
		{operation("new", `,"effect":"whenever"`), "operations.new"},
		{nodeconfig.Item{Part: nodeconfig.Limits, Name: "family_info.n_cores", Value: []byte("4")}, "takes a new start"},
		{nodeconfig.Item{Part: "levels", Name: "x", Value: []byte("4")}, "no such part"},
		{tenant("x", 3), "no operation would be left"},
	} {
		v, _ := put(t, r, c.item.Part+c.item.Name, 0, c.item)
		assert.False(t, v.Done)
		assert.Contains(t, v.Refused, c.want)
	}
}

func TestNodeThatCantTakeAVersionKeepsTheLastAndSaysSo(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, fromFile)
	require.NoError(t, err)
	servingNode(t, r)
	v, _ := put(t, r, "a", 0, allOf(r)...)
	require.True(t, v.Done, v.Refused)
	settle(t, r)
	before := r.config.Clone()
	v, effects := put(t, r, "b", 1, operation("new", `,"class_calls":true`), tenant("x", 3))
	require.True(t, v.Done, "by itself it is sound: %s", v.Refused)
	assert.Empty(t, kindsOf(effects, ReportVersionInForce))
	assert.Equal(t, before, r.config.Clone())
	s := r.ConfigSyncState()
	assert.Equal(t, []uint64{1, 2}, []uint64{s.Version, s.Refused})
	assert.Contains(t, s.Why, "operations.new: class_calls: it makes calls, and this node's own file names no catalogue")
	for range 10 {
		step(r)
	}
	a, _ := questioned(t, r, &configsync.Query{Kind: configsync.ShowStanding})
	assert.True(t, a.Seat.Head.Stopped, "it goes no further")
	assert.Equal(t, []any{"n1", uint64(1)}, []any{a.Seat.Head.Who, a.Seat.Head.All.Version})
}

func TestLargeVersionTakesNoLongStep(t *testing.T) {
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, fromFile)
	require.NoError(t, err)
	servingNode(t, r)
	content := r.configSync.holder.Content()
	var items []configsync.Item
	for k := range 10 * amendedAStep {
		items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
	}
	next, err := content.Apply(items)
	require.NoError(t, err)
	mark := configsync.Revision{Version: 9, Digest: next.Digest()}
	r.executeConfigEffect(&configsync.Effect{Kind: configsync.Take, Mark: mark, Old: content, New: next})
	steps := 0
	for ; r.configSync.taking != nil; steps++ {
		was := r.config.Tenants.Slots()
		effects := r.Step(r.now+ms, r.now+ms+1_000_000*ms, nil)
		assert.LessOrEqual(t, r.config.Tenants.Slots()-was, amendedAStep)
		if r.configSync.taking != nil {
			assert.Equal(t, r.now+1, effects[len(effects)-1].At, "it goes on at once")
		}
	}
	assert.GreaterOrEqual(t, steps, 20, "looked at and taken a part at a time")
	assert.Equal(t, 10*amendedAStep, r.config.Tenants.Len())
	assert.Equal(t, uint64(9), r.ActiveVersion())
}

// What stands at the first stage is checked at the others, and nothing of it is in force there.
func TestAVersionThatIsOnlyCheckedChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		item    nodeconfig.Item
		refused int
		taken   bool // it becomes in force for all meanwhile
	}{
		{"sound", tenant("x", 3), 0, false},
		{"one that this node can't take", operation("new", `,"class_calls":true`), 1, false},
		{"sound, and its turn comes", tenant("x", 3), 0, true},
	} {
		r, err := configuredNode(t, Addresses{"executor:1", "", "control:1"}, fromFile)
		require.NoError(t, err)
		servingNode(t, r)
		before, content := r.config.Clone(), r.configSync.holder.Content()
		items := []configsync.Item{configsync.Item(c.item)}
		for k := range 3 * amendedAStep {
			items = append(items, configsync.Item(tenant(fmt.Sprint("t", k), 1)))
		}
		next, err := content.Apply(items)
		require.NoError(t, err)
		e := &configsync.Effect{Kind: configsync.Check, Mark: configsync.Revision{Version: 9, Digest: next.Digest()}, First: true, Old: content, New: next}
		r.executeConfigEffect(e)
		require.NotNil(t, r.configSync.taking)
		if c.taken {
			step(r)
			again := *e
			again.Kind = configsync.Take
			r.executeConfigEffect(&again)
		}
		var all []Effect
		for steps := 0; r.configSync.taking != nil; steps++ {
			all = append(all, step(r)...)
			require.Less(t, steps, 20, c.name)
		}
		assert.Equal(t, c.refused, r.Counters.VersionsRefused, c.name)
		assert.Len(t, kindsOf(all, ReportVersionInForce), map[bool]int{true: 1}[c.taken], c.name)
		if !c.taken {
			assert.Equal(t, before, r.config.Clone(), c.name)
			assert.Zero(t, r.ActiveVersion(), c.name)
		}
	}
}

func TestStartIsFromTheDiskWhereItCanBeTaken(t *testing.T) {
	kept := func(items ...nodeconfig.Item) func(file *configsync.Content) configsync.InitialState {
		return func(file *configsync.Content) configsync.InitialState {
			var list []configsync.Item
			for _, i := range items {
				list = append(list, configsync.Item(i))
			}
			content, err := file.Apply(list)
			require.NoError(t, err)
			return configsync.InitialState{Mark: configsync.Revision{Version: 8, Digest: content.Digest()}, Content: content, Source: "disk"}
		}
	}
	r, err := configuredNode(t, Addresses{"executor:1", "catalogue:1", "control:1"}, kept(operation("new", ""), removed(nodeconfig.Operations, "hold")))
	require.NoError(t, err)
	in := kindsOf(servingNode(t, r), ReportVersionInForce)
	require.Len(t, in, 1)
	assert.Equal(t, []any{"disk", uint64(8), 1, 1}, []any{in[0].InForce.Source, in[0].InForce.Mark.Version, in[0].InForce.Added, in[0].InForce.Removed})
	assert.Equal(t, 1, runsOf(step(r, coming(r, 1, "op", "new"))))
	assert.Equal(t, []string{"51 on 2"}, answers(t, step(r, coming(r, 2, "op", "hold"))))

	r, err = configuredNode(t, Addresses{"executor:1", "", "control:1"}, kept(operation("new", `,"class_calls":true`)))
	assert.ErrorContains(t, err, "names no catalogue")
	assert.Nil(t, r.ConfigSyncState())
	_, known := r.config.Operations.Find("new")
	assert.False(t, known, "nothing is changed")
}

func TestLettersOfTheConfigurationAreToldFromMembership(t *testing.T) {
	fleet := envelope.FleetOf("mobilier")
	text, err := envelope.Seal(nil, fleet, EncodeConfigQuery(&configsync.Query{Kind: configsync.ShowStanding}))
	require.NoError(t, err)
	var older membership.Message
	require.NoError(t, envelope.Open(text, fleet, &older))
	assert.Equal(t, membership.Message{}, older, "a build without the door finds a message of no kind, which it refuses")
	r := peered(t)
	effects := r.Step(ms, 1, []Input{{Kind: PeerRequestReceived, Link: 4, Bytes: text}})
	require.Len(t, kindsOf(effects, ReplyToExchange), 1, "where it is off the exchange is closed")
	assert.Empty(t, kindsOf(effects, ReplyToExchange)[0].Bytes)
	assert.Zero(t, r.fleet.letters.Spoilt)
	msg := membership.Message{Kind: membership.MessageSyncPush, From: 9, Seq: 5, Records: []membership.Record{other(3, true)}, Heads: []membership.RecordSummary{{ID: 1, Incarnation: 2}},
		Wanted: []membership.ID{4}, Why: "x", Digest: 8, Neighbour: true}
	var body peerMessage
	require.NoError(t, envelope.Open(sealed(t, "mobilier", msg), fleet, &body))
	assert.Equal(t, peerMessage{Message: msg}, body)
}

// A version whose changes lie apart in a large content is taken over steps that each look at a bounded part of it, and as a whole.
func TestVersionOfChangesThatLieApartIsTakenOverSteps(t *testing.T) {
	const tenants, changed, most = 40_000, 600, 128 // most a step: each lies in a block of 13 kB
	note := strings.Repeat("n", 280)
	var own, next *configsync.Content
	r, err := configuredNode(t, Addresses{}, func(file *configsync.Content) configsync.InitialState {
		var all, some []configsync.Item
		for k := range tenants {
			all = append(all, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":1}`, note)})
		}
		for k := range changed {
			some = append(some, configsync.Item{Part: configsync.Tenants, Name: fmt.Sprint("tenant-", 60*k), Value: fmt.Appendf(nil, `{"note":%q,"quota_rps":2}`, note)})
		}
		var err error
		own, err = file.Apply(all)
		require.NoError(t, err)
		next, err = own.Apply(some)
		require.NoError(t, err)
		return configsync.InitialState{Mark: configsync.Revision{Version: 1, Digest: own.Digest()}, Content: own, Source: "disk", Journal: -1}
	})
	require.NoError(t, err)
	servingNode(t, r)
	r.executeConfigEffect(&configsync.Effect{Kind: configsync.Take, Old: own, New: next, Mark: configsync.Revision{Version: 2, Digest: next.Digest()}})
	steps, last := 0, 0
	for ; r.configSync.taking != nil; steps++ {
		taking := r.configSync.taking
		require.Less(t, steps, 1_000)
		r.applyPendingConfig()
		if taken := taking.version.counts[1]; taking.checking == nil {
			assert.LessOrEqual(t, taken-last, most)
			last = taken
		}
	}
	assert.GreaterOrEqual(t, steps, 2*changed/most, "checked, and taken")
	assert.Equal(t, changed, last)
	for _, k := range []int{0, 60, 61, 60 * (changed - 1)} {
		i, known := r.config.Tenants.Find(fmt.Sprint("tenant-", k))
		require.True(t, known)
		assert.Equal(t, float64(1+(60-k%60)/60), r.config.Node.TenantRates[i], k)
	}
}
