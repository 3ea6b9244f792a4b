package quota

var (
	nodeA      = Owner{"a", 1}
	nodeB      = Owner{"b", 1}
	testConfig = HolderConfig{Name: "calls", LeaseTerm: 4_000 * ms, MaxUseTime: 500 * ms, Units: 10}
)

// tableWithLimit returns a table with one limit that grants leases at once.
func tableWithLimit(units int64) *LeaseTable {
	table := NewLeaseTable()
	table.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: units, Version: 1, EarlierLeasesEndAt: -MaxTimeStep})
	return table
}

func leaseRequest(holder Owner, seq uint64, retainedUnits, wanted int64) *Command {
	return &Command{Kind: CommandRequestLease, Sender: holder, Seq: seq, Limit: "calls", RetainedUnits: retainedUnits, WantedUnits: wanted, LeaseDuration: testConfig.LeaseTerm}
}
