package claims

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against replicas that diverge: whatever the commands and their order, replicas answer alike, a claim's fence never
// decreases, a snapshot restores an equal table, and the table's size and index by owner match its claims.
func TestReplicasOfATableStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		replica := NewTable()
		fences := map[Key]uint64{}
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			command := drawCommand(t, table, n)
			verdict := table.Apply(&command)
			if other := replica.Apply(&command); fmt.Sprint(verdict) != fmt.Sprint(other) {
				t.Fatalf("the table answers %v, its replica %v", verdict, other)
			}
			if entry := table.Find(command.Key); entry != nil {
				if entry.Fence < fences[command.Key] {
					t.Fatalf("fence %d of a claim that had fence %d", entry.Fence, fences[command.Key])
				}
				fences[command.Key] = entry.Fence
			}
			if n%20 == 0 {
				replica = restoredTable(t, table)
			}
		}
		checkIndices(t, table)
	})
}

func drawCommand(t *rapid.T, table *Table, n int) Command {
	command := Command{
		Kind:         CommandKind(rapid.IntRange(0, int(CommandAdvanceTime)).Draw(t, "kind")),
		Sender:       Owner{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sender"), 1},
		Key:          testKey(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "token"))),
		BodyHash:     7,
		Duration:     rapid.Int64Range(0, 9_000*ms).Draw(t, "duration"),
		Retention:    20_000 * ms,
		Work:         []byte("w"),
		Fence:        rapid.Uint64Range(0, 12).Draw(t, "fence"),
		NewOwner:     nodeB,
		MeasuredFrom: table.Time(),
		Seq:          uint64(n),
		InvocationID: "c",
	}
	if entry := table.Find(command.Key); entry != nil && rapid.Bool().Draw(t, "with the owner and fence of the claim") {
		command.Fence = entry.Fence
		command.Sender = entry.Owner
	}
	return command
}

func restoredTable(t *rapid.T, table *Table) *Table {
	encoded, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(encoded)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(encoded) {
		t.Fatal("the snapshot of a restored table differs from the one it was restored from")
	}
	return restored
}

// checkIndices checks that a table's size and its index by owner match its claims.
func checkIndices(t *rapid.T, table *Table) {
	size := int64(0)
	owned := 0
	for _, entry := range table.List(100) {
		size += entry.sizeBytes()
		if !entry.isOver() {
			owned++
		}
	}
	if _, bytes := table.Size(); size != bytes {
		t.Fatalf("claims of %d bytes, the table counts %d", size, bytes)
	}
	for _, owner := range table.Owners() {
		owned -= len(table.OwnedBy(owner))
	}
	if owned != 0 {
		t.Fatalf("%d claims are missing from the index by owner", owned)
	}
}
