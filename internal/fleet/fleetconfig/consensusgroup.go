package fleetconfig

import (
	"cmp"
	"fmt"
	"slices"

	"topazpost/internal/fleet/quota"
)

// Defaults and bounds of the consensus group.
const (
	defaultTableBytes = 4 << 20 // some 10,000 claims
	minTableBytes     = 64 << 10
	maxTableBytes     = 12 << 20      // the table must fit in one message of a stream
	defaultLeaseTerm  = 4_000_000_000 // ns; lasts longer than an election
	callQuotaName     = "calls"
)

// ConsensusGroup configures the replicas that agree on claims of idempotency tokens for the fleet.
type ConsensusGroup struct {
	Replicas         []string // names of nodes
	Folder           string   // where the node stores its replica's state; empty to hold it in memory only
	MaxTableBytes    int64    // of the table of claims
	CallQuota        *quota.HolderConfig
	CallQuotaVersion uint64 // 0 without a quota
}

func (r *fileReader) consensusGroup(content *councilContent) *ConsensusGroup {
	group := &ConsensusGroup{Replicas: content.Seats, MaxTableBytes: defaultTableBytes}
	group.Folder = r.nodeFolder(content.Folder, "seat", "council", "folder")
	if content.Table != nil {
		group.MaxTableBytes = int64(*content.Table)
	}
	if content.Calls != nil {
		r.readCallQuota(group, content.Calls)
	}
	r.checkReplicas(group.Replicas)
	if group.MaxTableBytes < minTableBytes || group.MaxTableBytes > maxTableBytes {
		r.fail(fmt.Sprintf("is %d bytes", group.MaxTableBytes), "choose 64 KiB to 12 MiB: a replica that rejoins receives the table in one message",
			"council", "table")
	}
	return group
}

// readCallQuota reads the fleet-wide quota of concurrent calls.
func (r *fileReader) readCallQuota(group *ConsensusGroup, content *callsContent) {
	group.CallQuotaVersion = 1
	if content.Version != nil {
		group.CallQuotaVersion = *content.Version
	}
	group.CallQuota = &quota.HolderConfig{
		Name:       callQuotaName,
		Units:      content.Limit,
		MaxUseTime: int64(content.Hold),
		LeaseTerm:  cmp.Or(int64(content.Lease), defaultLeaseTerm),
	}
	if problem := group.CallQuota.Problem(); problem != "" {
		r.fail(problem, "see docs/operate/quota.md for the bounds", "council", "calls")
	}
}

func (r *fileReader) checkReplicas(names []string) {
	if n := len(names); n != 1 && n != 3 && n != 5 {
		r.fail(fmt.Sprintf("lists %d nodes, expected 1, 3 or 5", n), "list an odd number: an even one tolerates no more failures than one node less",
			"council", "seats")
	}
	sorted := slices.Sorted(slices.Values(names))
	if len(slices.Compact(sorted)) < len(names) {
		r.fail("lists a node twice", "list each node once", "council", "seats")
	}
}
