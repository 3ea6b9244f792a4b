package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"topazpost/internal/fleet/configsync"
)

const shownDigestLength = 16 // characters

type configStatus struct{ configTarget }

// versionStatus describes the nodes that have a version in force.
type versionStatus struct {
	Version  uint64   `json:"version"`
	Digest   string   `json:"digest"`
	Nodes    int      `json:"nodes"`
	Names    []string `json:"names"`
	OldestNS int64    `json:"oldest_ns"`   // since the first of them applied it
	ReportNS int64    `json:"reported_ns"` // since the oldest of their reports
}

// refusal is a version that a node refused.
type refusal struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Why     string `json:"why"`
}

// fleetStatus is the state of all nodes as the replicas know it.
type fleetStatus struct {
	versions []*versionStatus // newest first
	refusals []refusal
	silent   []string // members that reported to no replica
}

// Run prints the versions that the nodes have.
func (c *configStatus) Run() error {
	answers, err := c.queryReplicas()
	if err != nil {
		c.printNodeStatus()
		return err
	}
	seat := answers[0].ReplicaStatus
	status := newFleetStatus(latestStatuses(answers), seat.Alive)
	if c.JSON {
		return status.printJSON(seat, len(answers))
	}
	return status.print(&seat.Head, len(answers))
}

// printNodeStatus prints what a node knows where no replica answers.
func (c *configStatus) printNodeStatus() {
	a, err := c.queryAny(&configsync.Query{Kind: configsync.QueryStatus})
	if err != nil {
		return // the caller reports that no replica answers
	}
	fmt.Fprintf(os.Stderr, "%s has version %d in force, since %s; it last heard a seat %s\n", a.Node, a.Status.Revision.Version,
		formatAgo(a.Status.TakenNS), formatAgo(a.Status.HeardNS))
}

func newFleetStatus(statuses map[string]configsync.NodeStatus, members []string) *fleetStatus {
	f := &fleetStatus{refusals: []refusal{}, silent: []string{}}
	byRevision := make(map[configsync.Revision]*versionStatus)
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		s := statuses[name]
		v := byRevision[s.Revision]
		if v == nil {
			v = &versionStatus{Version: s.Revision.Version, Digest: s.Revision.Digest.String()}
			byRevision[s.Revision] = v
		}
		v.Nodes++
		v.Names = append(v.Names, name)
		v.OldestNS = max(v.OldestNS, s.Age+s.At)
		v.ReportNS = max(v.ReportNS, s.At)
		if s.Refused.Version > 0 {
			f.refusals = append(f.refusals, refusal{name, s.Refused.Version, s.Why})
		}
	}
	for _, name := range members {
		if _, reported := statuses[name]; !reported {
			f.silent = append(f.silent, name)
		}
	}
	f.versions = slices.SortedFunc(maps.Values(byRevision), func(x, y *versionStatus) int {
		return cmp.Or(cmp.Compare(y.Version, x.Version), cmp.Compare(x.Digest, y.Digest))
	})
	return f
}

func (f *fleetStatus) printJSON(seat *configsync.ReplicaStatus, replicas int) error {
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
	}{
		ForAll: seat.Head.All.Version, First: seat.Head.Canary.Version, Newest: seat.Head.Newest,
		Stopped: seat.Head.Stopped, Who: seat.Head.StoppedBy, Why: seat.Head.StopReason, Good: append([]uint64{}, seat.RollbackVersions...),
		Versions: f.versions, Refusals: f.refusals, Silent: f.silent, Seats: replicas,
	})
}

func (f *fleetStatus) print(head *configsync.RolloutState, replicas int) error {
	fmt.Printf("in force for all: %d; first stage: %d; newest: %d; %d seats asked\n", head.All.Version, head.Canary.Version,
		head.Newest, replicas)
	if head.Stopped {
		fmt.Printf("stopped: %s can't take version %d: %s\n", head.StoppedBy, head.Canary.Version, head.StopReason)
	}
	w := newTable("version\tnodes\tin force since\toldest report\tdigest\twho")
	for _, v := range f.versions {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\n", v.Version, v.Nodes, formatAgo(v.OldestNS), formatAgo(v.ReportNS),
			v.Digest[:shownDigestLength], joinNames(v.Names))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range f.refusals {
		fmt.Printf("%s can't take version %d: %s\n", r.Node, r.Version, r.Why)
	}
	if len(f.silent) > 0 {
		fmt.Printf("members that told no seat what they have: %s\n", joinNames(f.silent))
	}
	return nil
}

func formatAgo(ns int64) string {
	if ns < 0 {
		return "never"
	}
	return time.Duration(ns).Round(100*time.Millisecond).String() + " ago"
}
