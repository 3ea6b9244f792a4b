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
	maxTableBytes     = 12 << 20      // one message of a stream holds it
	defaultLeaseTerm  = 4_000_000_000 // ns; longer than an election
	callQuotaName     = "calls"
)

// ConsensusGroup is the group of replicas that agrees on claims of idempotency keys for the fleet.
type ConsensusGroup struct {
	Replicas         []string // names of nodes
	Folder           string   // where the node stores its replica's state; empty in memory only
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
		r.fail(fmt.Sprintf("is %d bytes", group.MaxTableBytes), "choose 64 KiB to 12 MiB: a seat that comes back gets it in one piece",
			"council", "table")
	}
	return group
}

// readCallQuota reads the quota of concurrent calls of the whole fleet.
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
		r.fail(fmt.Sprintf("are %d", n), "name 1, 3 or 5 nodes: a council of an even number bears no more losses than one of a seat less",
			"council", "seats")
	}
	sorted := slices.Sorted(slices.Values(names))
	if len(slices.Compact(sorted)) < len(names) {
		r.fail("name a node twice", "name each once", "council", "seats")
	}
}
