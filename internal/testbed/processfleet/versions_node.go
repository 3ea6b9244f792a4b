package processfleet

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/internal/testbed/virtualfleet"
)

// nodeProcess is one nodeProcess of a member: its holder, and its seat where it has one.
type nodeProcess struct {
	f       *virtualVersions
	m       *member
	holder  *configsync.Replicator
	inbox   []configsync.Input
	woken   timer // of the holder
	asked   map[int]func(body any, size int)
	links   int
	council *consensus.Replica
	toSeat  []consensus.Input
	seated  timer // of the seat
	current bool  // as the holder knows of its seat
	writes  []*consensus.Write
	free    int64 // when the seat's disk has nothing to do
	fresh   bool  // began without a disk, and has taken nothing since
}

func (l *nodeProcess) view() configsync.Input {
	v := &configsync.View{}
	v.Neighbours, v.Zone = l.m.NeighboursAndZone()
	for _, s := range l.f.seats {
		if s != l.m.Name {
			v.Replicas = append(v.Replicas, s)
		}
	}
	return configsync.Input{Kind: configsync.ViewChanged, View: v}
}

func (l *nodeProcess) viewMayHaveChanged() {
	if l.f.terms.Membership {
		l.deliver(l.view())
		l.m.Later(lookAgain, l.viewMayHaveChanged)
	}
}

// ViewChanged looks at what is around, in a step of its own.
func (l *nodeProcess) ViewChanged(membership.Change) { l.m.Later(0, func() { l.deliver(l.view()) }) }

// DatagramReceived takes a message of another node's holder or seat.
func (l *nodeProcess) DatagramReceived(from *virtualfleet.Node, body any) {
	p := body.(messageInFlight)
	l.m.spend(l.f.Now, p.size)
	switch msg := p.body.(type) {
	case *configsync.Message:
		again := *msg
		l.deliver(configsync.Input{Kind: configsync.DatagramReceived, From: from.Name, Message: &again})
	case []byte:
		got := new(consensus.Message)
		if err := cbor.Unmarshal(msg, got); err != nil {
			l.f.wrong = append(l.f.wrong, fmt.Sprintf("a message between seats can't be read: %v", err))
		} else if l.council != nil {
			l.deliverToReplica(consensus.Input{Message: got})
		}
	}
}

// ExchangeOpened takes an exchange.
func (l *nodeProcess) ExchangeOpened(from *virtualfleet.Node, body any, reply func(body any, size int)) {
	p := body.(messageInFlight)
	l.m.spend(l.f.Now, p.size)
	l.links++
	l.asked[l.links] = reply
	again := *p.body.(*configsync.Message)
	l.deliver(configsync.Input{Kind: configsync.ExchangeOpened, From: from.Name, Link: l.links, Message: &again})
}

func (l *nodeProcess) deliver(in configsync.Input) {
	l.inbox = append(l.inbox, in)
	l.wake(l.f.Now)
}

// timer steps a part of a life at the earliest time for which it was set.
type timer struct {
	at   int64 // 0 while it isn't set
	step func()
}

func (l *nodeProcess) schedule(a *timer, at int64) {
	if at = max(at, l.f.Now); a.at > 0 && a.at <= at {
		return
	}
	a.at = at
	l.m.Later(at-l.f.Now, func() {
		if a.at == at && l.m.life == l {
			a.at = 0
			a.step()
		}
	})
}

func (l *nodeProcess) wake(at int64) { l.schedule(&l.woken, at) }

func (l *nodeProcess) step() {
	in := l.inbox
	l.inbox = nil
	effects, next := l.holder.Step(l.f.Now, in)
	for k := range effects {
		l.apply(&effects[k])
	}
	l.wake(next)
}

func sized(body any) int {
	b, err := envelope.Seal(nil, sealed, body)
	if err != nil {
		panic(err) // of plain fields
	}
	return len(b)
}

func (l *nodeProcess) apply(e *configsync.Effect) {
	f, m := l.f, l.m
	switch e.Kind {
	case configsync.Send:
		if to := f.byName[e.To]; to != nil {
			size := sized(e.Message)
			m.spend(f.Now, size)
			m.SendDatagram(to.Node, messageInFlight{e.Message, size}, size)
		}
	case configsync.Exchange:
		to, link, size := f.byName[e.To], e.Link, sized(e.Message)
		m.spend(f.Now, size)
		m.OpenExchange(to.Node, messageInFlight{e.Message, size}, size, func(body any, ok bool) {
			if !ok {
				l.deliver(configsync.Input{Kind: configsync.ExchangeFailed, Link: link})
				return
			}
			p := body.(messageInFlight)
			m.spend(f.Now, p.size)
			again := *p.body.(*configsync.Message)
			l.deliver(configsync.Input{Kind: configsync.ExchangeAnswered, Link: link, Message: &again})
		})
	case configsync.Reply:
		if reply := l.asked[e.Link]; reply != nil {
			delete(l.asked, e.Link)
			size := sized(e.Message)
			m.spend(f.Now, size)
			reply(messageInFlight{e.Message, size}, size)
		}
	case configsync.ApplyVersion, configsync.CheckVersion:
		l.adopt(e)
	case configsync.PersistVersion:
		next := storedContent{e.Revision, e.New}
		m.Later(f.chance.Int63n(maxWriteTime), func() {
			m.disk = next
			l.deliver(configsync.Input{Kind: configsync.VersionPersisted})
		})
	case configsync.ProposeCommand:
		if l.council != nil {
			l.deliverToReplica(consensus.Input{ConfigCommands: []configsync.Command{*e.Command}})
		}
	}
}

// adopt has a version in force at a node, or only checks it, or refuses it.
func (l *nodeProcess) adopt(e *configsync.Effect) {
	f, m, mark := l.f, l.m, e.Revision
	if want, agreed := f.digests[mark.Version]; !agreed || want != mark.Digest || e.New.Digest() != mark.Digest {
		f.wrong = append(f.wrong, fmt.Sprintf("%s takes %s as version %d, which is %s", m.Name, e.New.Digest(), mark.Version, want))
	}
	why := ""
	if m.old && string(e.New.Get(configsync.Operations, "new")) == newBuild {
		why = "operations new is of a later build"
	}
	m.Later(f.chance.Int63n(maxAdoptTime), func() {
		if why != "" {
			if f.refused++; f.refused <= lateNamed {
				f.logf("%s refuses version %d, first stage %t", m.Name, mark.Version, e.Canary)
			}
		} else if e.Kind == configsync.ApplyVersion {
			if k := len(m.held); k > 0 && mark.Version <= m.held[k-1].version {
				f.back++
				f.logf("%s goes from version %d to %d", m.Name, m.held[k-1].version, mark.Version)
			}
			m.held = append(m.held, revisionTime{f.Now, mark.Version})
			if l.fresh {
				l.fresh = false
				f.recovers = append(f.recovers, seconds(f.Now-m.Started))
			}
		}
		answer := configsync.Input{Kind: configsync.VersionApplied, Revision: mark, Why: why}
		if e.Kind == configsync.CheckVersion {
			answer.Kind = configsync.VersionChecked
		}
		l.deliver(answer)
	})
}

func (l *nodeProcess) deliverToReplica(in consensus.Input) {
	l.toSeat = append(l.toSeat, in)
	l.wakeReplica(l.f.Now)
}

func (l *nodeProcess) wakeReplica(at int64) { l.schedule(&l.seated, at) }

func (l *nodeProcess) stepReplica() {
	f, m := l.f, l.m
	in := l.toSeat
	l.toSeat = nil
	effects, next := l.council.Step(f.Now, in)
	for k := range effects {
		switch e := &effects[k]; e.Kind {
		case consensus.Send:
			l.sendFromReplica(e)
		case consensus.Persist:
			l.persist(e.Write)
		case consensus.WriteLog:
			f.logf("%s: %s", m.Name, e.Text)
		}
	}
	if agreed, changed := l.council.AgreedConfig(); changed {
		if agreed != nil {
			f.recordAgreed(agreed)
		}
		l.deliver(configsync.Input{Kind: configsync.AgreementChanged, Agreed: agreed})
	}
	if current := l.council.IsCurrent(); current != l.current {
		l.current = current
		l.deliver(configsync.Input{Kind: configsync.ReplicaContactChanged, ReplicaCurrent: current})
	}
	l.wakeReplica(next)
}

func (l *nodeProcess) sendFromReplica(e *consensus.Effect) {
	f, m := l.f, l.m
	if e.Message.Kind == consensus.MessageVerdicts && len(e.Message.ConfigVerdicts) > 0 {
		list := slices.Clone(e.Message.ConfigVerdicts)
		for _, c := range f.callers {
			if c.name == e.To {
				f.After(ms, func() { f.decided(c, list) })
			}
		}
		return
	}
	text, err := cbor.Marshal(&e.Message)
	if err != nil {
		f.wrong = append(f.wrong, fmt.Sprintf("a message between seats can't be written: %v", err))
		return
	}
	if e.To == m.Name {
		m.Later(0, func() {
			got := new(consensus.Message)
			if cbor.Unmarshal(text, got) == nil {
				l.deliverToReplica(consensus.Input{Message: got})
			}
		})
		return
	}
	if to := f.byName[e.To]; to != nil {
		size := len(text) + envelope.HeaderBytes
		m.spend(f.Now, size)
		m.SendDatagram(to.Node, messageInFlight{text, size}, size)
	}
}

// persist has writes reach the seat's disk in their order.
func (l *nodeProcess) persist(w *consensus.Write) {
	f, m := l.f, l.m
	l.free = max(l.free, f.Now) + ms/10 + f.chance.Int63n(maxSyncTime)
	l.writes = append(l.writes, w)
	m.Later(l.free-f.Now, func() {
		m.write(l.writes[0])
		l.writes = l.writes[1:]
		l.deliverToReplica(consensus.Input{Persisted: w.Number})
	})
}
