package quota

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestUnitsGoToHoldersThatWantThem(t *testing.T) {
	table := tableWithLimit(10)
	assert.Equal(t, int64(8), table.Apply(1, leaseRequest(nodeA, 1, 0, 8)).Units)
	v := table.Apply(2, leaseRequest(nodeB, 1, 0, 8))
	assert.Equal(t, int64(2), v.Units, "the units that are left")
	assert.Equal(t, int64(5), v.FairShare, "the fair share is half of the limit")
	v = table.Apply(3, leaseRequest(nodeA, 2, 8, 8))
	assert.Equal(t, Verdict{Limit: "calls", Seq: 2, Units: 8, FairShare: 5, LimitDefined: true}, v, "nothing is taken from a holder")
	assert.Equal(t, int64(5), table.Apply(4, leaseRequest(nodeA, 3, 5, 8)).Units, "a holder returns units")
	assert.Equal(t, int64(5), table.Apply(5, leaseRequest(nodeB, 2, 2, 8)).Units)
	assert.Equal(t, int64(10), table.Find("calls").LeasedUnits())
}

func TestEarlierRequestThatArrivesLateChangesNothing(t *testing.T) {
	table := tableWithLimit(10)
	earlier := leaseRequest(nodeA, 1, 0, 4)
	table.Apply(1, earlier)
	table.Apply(2, leaseRequest(nodeA, 2, 4, 9))
	assert.Zero(t, table.Apply(3, earlier).Units, "the verdict of a late request shows no units; its holder ignores it")
	assert.Equal(t, int64(9), table.Find("calls").LeasedUnits(), "a late request takes back no units that were granted since")
	assert.Equal(t, int64(9), table.Apply(3, leaseRequest(nodeA, 2, 4, 9)).Units, "a retry of the last request gets the units of the lease")
}

func TestUnitsOfALostHolderAreFreeAfterItsLeaseExpires(t *testing.T) {
	table := tableWithLimit(10)
	table.Apply(1, leaseRequest(nodeA, 1, 0, 10))
	assert.Zero(t, table.Apply(testConfig.LeaseTerm+MaxTimeStep, leaseRequest(nodeB, 1, 0, 10)).Units)
	assert.Equal(t, int64(10), table.Apply(testConfig.LeaseTerm+MaxTimeStep+1, leaseRequest(nodeB, 1, 0, 10)).Units)
}

func TestFirstLeasesWaitForLeasesOfAnEarlierTable(t *testing.T) {
	table := NewLeaseTable()
	table.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: 10, Version: 1, EarlierLeasesEndAt: testConfig.LeaseTerm})
	assert.Zero(t, table.Apply(testConfig.LeaseTerm+MaxTimeStep-1, leaseRequest(nodeA, 1, 0, 10)).Units)
	assert.Equal(t, int64(10), table.Apply(testConfig.LeaseTerm+MaxTimeStep, leaseRequest(nodeA, 1, 0, 10)).Units)
}

func TestLimitIsLoweredAndRaisedByVersion(t *testing.T) {
	table := tableWithLimit(10)
	table.Apply(1, leaseRequest(nodeA, 1, 0, 10))
	table.Apply(2, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: 4, Version: 2})
	table.Apply(2, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: 20, Version: 1})
	v := table.Apply(3, leaseRequest(nodeA, 2, 10, 10))
	assert.Equal(t, int64(4), v.FairShare)
	assert.Equal(t, int64(4), table.Apply(4, leaseRequest(nodeA, 3, 4, 10)).Units)
	assert.Zero(t, table.Apply(5, leaseRequest(nodeB, 1, 0, 4)).Units, "units above the lowered limit are not granted")
	table.Apply(6, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: 12, Version: 3})
	assert.Positive(t, table.Apply(7, leaseRequest(nodeB, 2, 0, 4)).Units)
}

func TestUnitsRotateIfHoldersOutnumberThem(t *testing.T) {
	table := tableWithLimit(1)
	served := map[string]bool{}
	for time := int64(0); time < 40*rotationInterval; time += rotationInterval / 4 {
		for n := range 3 {
			holder := Owner{fmt.Sprint(n), 1}
			v := table.Apply(time, leaseRequest(holder, uint64(time)+1, 0, 5))
			served[holder.Name] = served[holder.Name] || v.Units > 0
		}
	}
	assert.Len(t, served, 3)
	assert.Equal(t, map[string]bool{"0": true, "1": true, "2": true}, served)
}

// Guards against leases above the limit: whatever the requests and their times, the sums of the leases and of the fair shares stay
// within the limit, no share exceeds what its holder wants, and a snapshot of the table can be restored.
func TestSumOfLeasesNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := tableWithLimit(rapid.Int64Range(0, 30).Draw(t, "limit"))
		time := int64(0)
		for n := range rapid.IntRange(1, 60).Draw(t, "requests") {
			time += rapid.Int64Range(0, testConfig.LeaseTerm).Draw(t, "elapsed")
			holder := Owner{rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "holder"), 1}
			verdict := table.Apply(time, drawRequest(t, holder, n))
			limit := table.Find("calls")
			if limit.LeasedUnits() > limit.Units {
				t.Fatalf("%d units leased, the limit is %d", limit.LeasedUnits(), limit.Units)
			}
			sum := int64(0)
			for i, share := range limit.fairShares(time) {
				sum += share
				if share > limit.Leases[i].WantedUnits {
					t.Fatalf("a share of %d units, %d are wanted", share, limit.Leases[i].WantedUnits)
				}
			}
			if sum > limit.Units {
				t.Fatalf("shares of %d units in all, the limit is %d", sum, limit.Units)
			}
			if verdict.Units < 0 {
				t.Fatal("the verdict grants a negative number of units")
			}
			encoded, err := table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if table, err = Restore(encoded); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func drawRequest(t *rapid.T, holder Owner, n int) *Command {
	seq := rapid.Uint64Range(0, uint64(n)+2).Draw(t, "seq")
	retainedUnits := rapid.Int64Range(-1, 40).Draw(t, "retained units")
	wanted := rapid.Int64Range(-1, 40).Draw(t, "wanted")
	return leaseRequest(holder, seq, retainedUnits, wanted)
}

func BenchmarkLeaseTableWith300Holders(b *testing.B) {
	table := tableWithLimit(5_000)
	for n := range 300 {
		table.Apply(1, leaseRequest(Owner{fmt.Sprint(n), 1}, 1, 0, 20))
	}
	seq := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		table.Apply(2, leaseRequest(Owner{"7", 1}, seq, 16, 20))
	}
}
