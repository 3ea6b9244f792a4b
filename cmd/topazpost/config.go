package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/server"
)

const (
	maxProposalBytes   = 48 << 10               // bytes of changes in one order: a seat checks it within some milliseconds
	maxProposalItems   = 400                    // changes in one order
	proposeBackoff     = 150 * time.Millisecond // to the next try at a seat
	statusPollInterval = 250 * time.Millisecond // between looks at who has a version
	maxListedNames     = 10                     // nodes or items that are named before the rest is counted
)

var errNotInForce = errors.New("not done")

// configCommands are the commands about the configuration that a fleet takes in service.
type configCommands struct {
	Put      configPut      `cmd:"" help:"Put a whole file, or some changes, as a new version; wait until it is in force."`
	Show     configShow     `cmd:"" help:"Print what is in force at a node, or at a seat what is agreed on."`
	Diff     configDiff     `cmd:"" help:"Say where a file differs from what is agreed on."`
	Status   configStatus   `cmd:"" help:"Say how many nodes have which version, who refused one and why."`
	Rollback configRollback `cmd:"" help:"Make a new version of what an older one came to, in force for all at once."`
}

type configTarget struct {
	Addresses []string `help:"Where nodes or seats hear peers; more are tried in turn." name:"at" required:"" env:"TOPAZPOST_PEERS" placeholder:"ADDRESS"`
	Fleet     string   `help:"Name of the fleet." required:"" env:"TOPAZPOST_FLEET_NAME"`
	JSON      bool     `help:"Print one object."`
}

type changeOptions struct {
	Request string        `help:"Name of this change, with which the command may be repeated: the same one counts once. Drawn without it." placeholder:"NAME"`
	Wait    bool          `help:"Wait until it is in force at every node in reach, or stopped."`
	Within  time.Duration `help:"How long to try, and to wait." default:"60s"`
}

type configPut struct {
	File string  `arg:"" help:"A node's whole file, or {operations: {NAME: {...} or null}, tenants: {...}, limits: {...}}; JSON or Jsonnet." type:"path"`
	Base *uint64 `help:"Version that it was made on; the newest that seats agreed on without it." placeholder:"VERSION"`
	configTarget
	changeOptions
}

type configShow struct {
	Part   string `help:"Only operations, tenants or limits." enum:",operations,tenants,limits" default:""`
	Name   string `help:"Only this item."`
	Newest bool   `help:"What was agreed on last, in force or not; asks a seat."`
	configTarget
}

type configDiff struct {
	File string `arg:"" help:"As that of put." type:"path"`
	configTarget
}

type configStatus struct{ configTarget }

type configRollback struct {
	Version uint64 `arg:"" help:"Version whose content is to be in force again."`
	configTarget
	changeOptions
}

// query asks one node.
func (c *configTarget) query(address string, q *configsync.Query) (*configsync.Answer, error) {
	name := envelope.FleetOf(c.Fleet)
	ask, err := envelope.Seal(nil, name, node.EncodeConfigQuery(q))
	if err != nil {
		return nil, err
	}
	text, err := server.Swap(context.Background(), "", address, ask)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("closed without an answer; is it a node of the fleet %q, with configuration in its fleet file?", c.Fleet)
	}
	var a *configsync.Answer
	if err == nil {
		a, err = node.DecodeConfigAnswer(text, name)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return a, nil
}

// queryAny asks the addresses in turn until one answers.
func (c *configTarget) queryAny(q *configsync.Query) (a *configsync.Answer, err error) {
	for _, address := range c.Addresses {
		var wrong error
		if a, wrong = c.query(address, q); wrong == nil {
			return a, nil
		}
		err = errors.Join(err, wrong)
	}
	return nil, err
}

// replicaAddresses are where replicaAddresses hear, of any node that answers; without one the addresses that were given.
func (c *configTarget) replicaAddresses() (addresses []string) {
	if a, err := c.queryAny(&configsync.Query{Kind: configsync.ShowStanding}); err == nil {
		for _, s := range a.Seats {
			if s.Address != "" {
				addresses = append(addresses, s.Address)
			}
		}
	}
	if len(addresses) == 0 {
		return c.Addresses
	}
	return addresses
}

// queryReplicas asks all seats, and gives what they know, the one that knows the newest first.
func (c *configTarget) queryReplicas() (list []*configsync.Answer, at []string, err error) {
	type known struct {
		a       *configsync.Answer
		address string
	}
	var all []known
	for _, address := range c.replicaAddresses() {
		a, wrong := c.query(address, &configsync.Query{Kind: configsync.ShowStanding})
		if wrong == nil && a.Seat != nil {
			all = append(all, known{a, address})
		} else {
			err = errors.Join(err, wrong)
		}
	}
	slices.SortStableFunc(all, func(x, y known) int { return cmp.Compare(y.a.Seat.Newest.Version, x.a.Seat.Newest.Version) })
	for _, k := range all {
		list, at = append(list, k.a), append(at, k.address)
	}
	if len(list) == 0 {
		return nil, nil, errors.Join(errors.New("no seat of the council answers that knows what is agreed on"), err)
	}
	return list, at, nil
}

// readContent reads a whole readContent of a node, again from the first where it changes meanwhile.
func (c *configTarget) readContent(address string, which int) (mark configsync.Revision, readContent *configsync.Content, err error) {
	for range 5 {
		var blocks []configsync.Block
		for from := 0; ; {
			a, err := c.query(address, &configsync.Query{Kind: configsync.ReadBlocks, Which: which, From: from})
			if err != nil {
				return mark, nil, err
			} else if a.Why != "" {
				return mark, nil, fmt.Errorf("%s: %s", address, a.Why)
			}
			if from > 0 && a.Mark != mark {
				break
			}
			mark, blocks = a.Mark, append(blocks, a.Blocks...)
			if from = a.Next; from == 0 {
				if readContent = configsync.FromBlocks(blocks, mark.Digest); readContent == nil {
					return mark, nil, fmt.Errorf("%s: what it told doesn't come to its digest", address)
				}
				return mark, readContent, nil
			}
		}
	}
	return mark, nil, fmt.Errorf("%s: versions change faster than they can be read", address)
}

// readChanges reads a file: a whole one, or changes.
func readChanges(path string) (changes []configsync.Item, whole bool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, false, err
	}
	if strings.HasSuffix(path, "sonnet") {
		file, err := configfile.Read(path)
		if err != nil {
			return nil, false, err
		}
		var object any
		if err := file.Into(&object); err != nil {
			return nil, false, err
		}
		if text, err = json.Marshal(object); err != nil {
			return nil, false, err
		}
	}
	var top map[string]json.RawMessage
	if err := json.Unmarshal(text, &top); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	if _, whole = top["settings"]; whole {
		top = nil
		n, err := server.DecodeConfig(bytes.NewReader(text))
		if err != nil {
			return nil, true, fmt.Errorf("%s: %w", path, err)
		}
		found, _ := nodeconfig.Diff(nil, n.Settings)
		for i := range found {
			changes = append(changes, configsync.Item(found[i]))
		}
		return changes, true, nil
	}
	for _, part := range slices.Sorted(maps.Keys(top)) {
		if part != configsync.Operations && part != configsync.Tenants && part != configsync.Limits {
			return nil, false, fmt.Errorf("%s: %s: no such part; write operations, tenants and limits, or a node's whole file with its settings", path, part)
		}
		var items map[string]json.RawMessage
		if err := json.Unmarshal(top[part], &items); err != nil {
			return nil, false, fmt.Errorf("%s: %s: it is an object of items by name: %w", path, part, err)
		}
		for _, name := range slices.Sorted(maps.Keys(items)) {
			value := []byte(items[name])
			if string(value) == "null" {
				value = nil
			} else if value, err = configsync.Canonical(value); err != nil {
				return nil, false, fmt.Errorf("%s: %s.%s: %w", path, part, name, err)
			}
			changes = append(changes, configsync.Item{Part: part, Name: name, Value: value})
		}
	}
	if len(changes) == 0 {
		return nil, false, fmt.Errorf("%s: names no item; write operations, tenants and limits, or a node's whole file with its settings", path)
	}
	list := make([]nodeconfig.Item, len(changes))
	for i := range changes {
		list[i] = nodeconfig.Item(changes[i])
	}
	if _, err := nodeconfig.Parse(list); err != nil {
		return nil, false, fmt.Errorf("%s: %w", path, err)
	}
	return changes, false, nil
}

// changesTo turns what a file says into changes of a content: of a whole file each item that differs, and the end of those that
// it doesn't have.
func changesTo(content *configsync.Content, items []configsync.Item, whole bool) (list []configsync.Item, err error) {
	var next *configsync.Content
	if whole {
		next, err = new(configsync.Content).Apply(items)
	} else {
		next, err = content.Apply(items)
	}
	if err != nil {
		return nil, err
	}
	for diff := configsync.Diff(content, next); ; {
		some := diff.Next(1_024)
		if len(some) == 0 {
			return list, nil
		}
		list = append(list, some...)
	}
}

// propose has a command ordered, at one seat after the other until there is a verdict.
func (c *configTarget) propose(at []string, command *configsync.Command, end time.Time) (*configsync.Verdict, error) {
	err := errors.New("no time was given")
	for k := 0; time.Now().Before(end); k++ {
		var a *configsync.Answer
		a, err = c.query(at[k%len(at)], &configsync.Query{Kind: configsync.Propose, Command: command})
		if err == nil && a.Verdict != nil {
			return a.Verdict, nil
		} else if err == nil {
			err = fmt.Errorf("%s: %s", at[k%len(at)], a.Why)
		}
		time.Sleep(proposeBackoff)
	}
	return nil, fmt.Errorf("no verdict in time, so it isn't known whether it is agreed on; repeat the command with --request %s: %w", command.From, err)
}

func (c *changeOptions) requestID() string {
	if c.Request == "" {
		b := make([]byte, 8)
		rand.Read(b)
		c.Request = hex.EncodeToString(b)
	}
	return c.Request
}

// changeOutcome is what put and rollback print.
type changeOutcome struct {
	Done    bool     `json:"done"`
	Version uint64   `json:"version"`
	Changes int      `json:"changes"`
	Refused string   `json:"refused,omitempty"`
	Differ  []string `json:"differ,omitempty"`
	More    int      `json:"more,omitempty"`
	InForce *bool    `json:"in_force,omitempty"` // at every node in reach; only with --wait
	Missing []string `json:"missing,omitempty"`
	Stopped string   `json:"stopped_why,omitempty"`
	Request string   `json:"request"`
}

// finish prints an outcome, and waits where that is asked for.
func (c *changeOptions) finish(at *configTarget, o *changeOutcome, finish time.Time) error {
	if o.Done && c.Wait {
		at.awaitInForce(o, finish)
	}
	failed := !o.Done || o.InForce != nil && !*o.InForce
	if at.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(o); err != nil {
			return err
		}
	} else {
		o.print()
	}
	if failed {
		return errNotInForce
	}
	return nil
}

func (o *changeOutcome) print() {
	switch {
	case !o.Done:
		fmt.Println("refused:", o.Refused)
		for _, d := range o.Differ {
			fmt.Println("  changed since:", d)
		}
		if o.More > 0 {
			fmt.Printf("  and %d more\n", o.More)
		} else if o.More < 0 {
			fmt.Println("  what changed is not known any more: the log no longer reaches so far")
		}
	case o.Changes == 0:
		fmt.Printf("nothing differs from version %d\n", o.Version)
	default:
		fmt.Printf("agreed on as version %d, %d changes\n", o.Version, o.Changes)
	}
	switch {
	case o.Stopped != "":
		fmt.Println("stopped:", o.Stopped)
	case o.InForce != nil && *o.InForce:
		fmt.Println("in force at every node in reach")
	case o.InForce != nil:
		fmt.Println("not yet in force, as far as seats know, at:", joinNames(o.Missing))
	}
}

func joinNames(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}

// awaitInForce waits until a version, or a later one, is in force at every member that a seat's view holds.
func (c *configTarget) awaitInForce(o *changeOutcome, end time.Time) {
	for done := false; ; time.Sleep(statusPollInterval) {
		o.InForce = &done
		if list, _, err := c.queryReplicas(); err == nil {
			head := list[0].Seat.Head
			has := latestStatuses(list)
			o.Missing = nil
			for _, name := range list[0].Seat.Alive {
				if has[name].Mark.Version < o.Version {
					o.Missing = append(o.Missing, name)
				}
			}
			if head.Stopped && head.First.Version >= o.Version && head.All.Version < o.Version {
				o.Stopped = fmt.Sprintf("version %d goes no further: %s can't take it: %s", head.First.Version, head.Who, head.Why)
				return
			}
			if done = head.All.Version >= o.Version && len(o.Missing) == 0; done {
				return
			}
		}
		if time.Now().After(end) {
			return
		}
	}
}

// latestStatuses is what each node reported last, to whichever seat.
func latestStatuses(list []*configsync.Answer) map[string]configsync.NodeStatus {
	has := map[string]configsync.NodeStatus{}
	for _, a := range list {
		for _, s := range a.Seat.Nodes {
			if before, known := has[s.Name]; !known || s.At < before.At {
				has[s.Name] = s
			}
		}
	}
	for _, a := range list { // what a seat says of itself is no report that may have been late
		if s := a.Status; s != nil {
			has[a.Node] = configsync.NodeStatus{Name: a.Node, Mark: s.Mark, Refused: s.Refused, Why: s.Why, Age: s.TakenNS}
		}
	}
	return has
}

// Run puts a file.
func (c *configPut) Run() error {
	end := time.Now().Add(c.Within)
	items, whole, err := readChanges(c.File)
	if err != nil {
		return err
	}
	list, at, err := c.queryReplicas()
	for err != nil && time.Now().Before(end) {
		time.Sleep(proposeBackoff)
		list, at, err = c.queryReplicas()
	}
	if err != nil {
		return err
	}
	mark, content, err := c.readContent(at[0], configsync.Newest)
	if err != nil {
		return err
	}
	base := mark.Version
	if c.Base != nil {
		base = *c.Base
	}
	changes, err := items, error(nil)
	if base == mark.Version { // else it is refused, whatever it comes to
		if changes, err = changesTo(content, items, whole); err != nil {
			return err
		}
	}
	o := &changeOutcome{Done: true, Version: mark.Version, Changes: len(changes), Request: c.requestID()}
	if mark.Version == 0 && !whole {
		o.Done, o.Refused = false, "nothing was ever put, and changes need something to change: put a node's whole file first"
		return c.finish(&c.configTarget, o, end)
	}
	if len(changes) == 0 {
		return c.finish(&c.configTarget, o, end)
	}
	from := uint64(0) // a council that forgot goes on above what nodes have
	for _, s := range latestStatuses(list) {
		from = max(from, s.Mark.Version)
	}
	for _, command := range splitProposals(changes) {
		command.Kind, command.From, command.Base, command.Version, command.Wall = configsync.Put, o.Request, base, from, time.Now().UnixNano()
		v, err := c.propose(at, &command, end)
		if err != nil {
			return err
		}
		o.Done, o.Version, o.Refused, o.More = v.Done, v.Version, v.Refused, v.More
		for _, i := range v.Differ {
			o.Differ = append(o.Differ, i.Part+"."+i.Name)
		}
		if !v.Done {
			break
		}
	}
	return c.finish(&c.configTarget, o, end)
}

// splitProposals are the orders of a change.
func splitProposals(changes []configsync.Item) (list []configsync.Command) {
	for len(changes) > 0 {
		n, size := 0, 0
		for n < min(len(changes), maxProposalItems) && (n == 0 || size < maxProposalBytes) {
			size += len(changes[n].Name) + len(changes[n].Value) + 24
			n++
		}
		list = append(list, configsync.Command{Changes: changes[:n], Piece: len(list), Seq: uint64(len(list) + 1), More: n < len(changes)})
		changes = changes[n:]
	}
	return list
}

// Run makes an older content a new version.
func (c *configRollback) Run() error {
	end := time.Now().Add(c.Within)
	_, at, err := c.queryReplicas()
	if err != nil {
		return err
	}
	v, err := c.propose(at, &configsync.Command{Kind: configsync.Rollback, From: c.requestID(), Seq: 1, Version: c.Version,
		Wall: time.Now().UnixNano()}, end)
	if err != nil {
		return err
	}
	return c.finish(&c.configTarget, &changeOutcome{Done: v.Done, Version: v.Version, Changes: 1, Refused: v.Refused, Request: c.requestID()}, end)
}

// Run prints a content.
func (c *configShow) Run() error {
	var mark configsync.Revision
	var content *configsync.Content
	var err error
	if c.Newest {
		_, at, wrong := c.queryReplicas()
		if wrong != nil {
			return wrong
		}
		mark, content, err = c.readContent(at[0], configsync.Newest)
	} else {
		for _, address := range c.Addresses {
			if mark, content, err = c.readContent(address, configsync.InForce); err == nil {
				break
			}
		}
	}
	if err != nil {
		return err
	}
	parts := map[string]map[string]json.RawMessage{}
	for i := range content.All {
		if c.Part != "" && i.Part != c.Part || c.Name != "" && i.Name != c.Name {
			continue
		}
		if parts[i.Part] == nil {
			parts[i.Part] = map[string]json.RawMessage{}
		}
		parts[i.Part][i.Name] = json.RawMessage(i.Value)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Version uint64                                `json:"version"`
			Digest  string                                `json:"digest"`
			Parts   map[string]map[string]json.RawMessage `json:"parts"`
		}{mark.Version, mark.Digest.String(), parts})
	}
	fmt.Printf("version %d, %s: %d operations, %d tenants, %d limits\n", mark.Version, mark.Digest, content.Len(configsync.Operations),
		content.Len(configsync.Tenants), content.Len(configsync.Limits))
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		for _, name := range slices.Sorted(maps.Keys(parts[part])) {
			fmt.Printf("%s.%s = %s\n", part, name, parts[part][name])
		}
	}
	return nil
}

// Run says what a put of the file would change.
func (c *configDiff) Run() error {
	items, whole, err := readChanges(c.File)
	if err != nil {
		return err
	}
	_, at, err := c.queryReplicas()
	if err != nil {
		return err
	}
	mark, content, err := c.readContent(at[0], configsync.Newest)
	if err != nil {
		return err
	}
	changes, err := changesTo(content, items, whole)
	if err != nil {
		return err
	}
	type change struct {
		Item string          `json:"item"`
		Was  json.RawMessage `json:"was"`
		Is   json.RawMessage `json:"is"`
	}
	list := []change{}
	for _, i := range changes {
		list = append(list, change{i.Part + "." + i.Name, content.Get(i.Part, i.Name), i.Value})
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Base    uint64   `json:"base"`
			Changes []change `json:"changes"`
		}{mark.Version, list})
	}
	fmt.Printf("%d items differ from version %d\n", len(list), mark.Version)
	for _, d := range list {
		if d.Was != nil {
			fmt.Printf("- %s = %s\n", d.Item, d.Was)
		}
		if d.Is != nil {
			fmt.Printf("+ %s = %s\n", d.Item, d.Is)
		}
	}
	return nil
}

// versionStatus is what status says of a version, or of one that was refused.
type versionStatus struct {
	Version  uint64   `json:"version"`
	Digest   string   `json:"digest"`
	Nodes    int      `json:"nodes"`
	Names    []string `json:"names"`
	OldestNS int64    `json:"oldest_ns"`   // since it is in force where it is longest
	ReportNS int64    `json:"reported_ns"` // ago, the oldest of their reports
}

type refusal struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Why     string `json:"why"`
}

// Run asks all seats how the fleet stands.
func (c *configStatus) Run() error {
	list, _, err := c.queryReplicas()
	if err != nil {
		if a, wrong := c.queryAny(&configsync.Query{Kind: configsync.ShowStanding}); wrong == nil {
			fmt.Fprintf(os.Stderr, "%s has version %d in force, since %s; it last heard a seat %s\n", a.Node, a.Status.Mark.Version,
				formatAgo(a.Status.TakenNS), formatAgo(a.Status.HeardNS))
		}
		return err
	}
	seat := list[0].Seat
	by := map[configsync.Revision]*versionStatus{}
	refusals, silent := []refusal{}, []string{}
	has := latestStatuses(list)
	for _, name := range slices.Sorted(maps.Keys(has)) {
		s := has[name]
		of := by[s.Mark]
		if of == nil {
			of = &versionStatus{Version: s.Mark.Version, Digest: s.Mark.Digest.String()}
			by[s.Mark] = of
		}
		of.Nodes, of.Names = of.Nodes+1, append(of.Names, name)
		of.OldestNS, of.ReportNS = max(of.OldestNS, s.Age+s.At), max(of.ReportNS, s.At)
		if s.Refused.Version > 0 {
			refusals = append(refusals, refusal{name, s.Refused.Version, s.Why})
		}
	}
	for _, name := range seat.Alive {
		if _, known := has[name]; !known {
			silent = append(silent, name)
		}
	}
	var versions []*versionStatus
	for _, s := range by {
		versions = append(versions, s)
	}
	slices.SortFunc(versions, func(x, y *versionStatus) int {
		return cmp.Or(cmp.Compare(y.Version, x.Version), cmp.Compare(x.Digest, y.Digest))
	})
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			ForAll   uint64           `json:"for_all"`
			First    uint64           `json:"first_stage"`
			Newest   uint64           `json:"newest"`
			Stopped  bool             `json:"stopped"`
			Who      string           `json:"stopped_by,omitempty"`
			Why      string           `json:"why,omitempty"`
			Good     []uint64         `json:"rollback_to"`
			Versions []*versionStatus `json:"versions"`
			Refusals []refusal        `json:"refusals"`
			Silent   []string         `json:"silent"`
			Seats    int              `json:"seats"`
		}{seat.Head.All.Version, seat.Head.First.Version, seat.Head.Newest, seat.Head.Stopped, seat.Head.Who, seat.Head.Why, append([]uint64{}, seat.Good...),
			versions, refusals, silent, len(list)})
	}
	fmt.Printf("in force for all: %d; first stage: %d; newest: %d; %d seats asked\n", seat.Head.All.Version, seat.Head.First.Version,
		seat.Head.Newest, len(list))
	if seat.Head.Stopped {
		fmt.Printf("stopped: %s can't take version %d: %s\n", seat.Head.Who, seat.Head.First.Version, seat.Head.Why)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "version\tnodes\tin force since\toldest report\tdigest\twho")
	for _, s := range versions {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", s.Version, s.Nodes, formatAgo(s.OldestNS), formatAgo(s.ReportNS), s.Digest[:16], joinNames(s.Names))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range refusals {
		fmt.Printf("%s can't take version %d: %s\n", r.Node, r.Version, r.Why)
	}
	if len(silent) > 0 {
		fmt.Printf("members that told no seat what they have: %s\n", joinNames(silent))
	}
	return nil
}

func formatAgo(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return time.Duration(ns).Round(100*time.Millisecond).String() + " ago"
}
