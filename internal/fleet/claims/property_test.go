package claims

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Any commands in any order: fences only grow, tables that apply the same commands are equal, a snapshot restores the table, and
// its bytes are those of its claims.
func TestTableIsAFunctionOfItsCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		replica := NewTable()
		fences := map[Key]uint64{}
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			command := drawCommand(t, table, n)
			verdict := table.Apply(&command)
			if other := replica.Apply(&command); fmt.Sprint(verdict) != fmt.Sprint(other) {
				t.Fatalf("%v and %v of one command", verdict, other)
			}
			if entry := table.Find(command.Key); entry != nil {
				if entry.Fence < fences[command.Key] {
					t.Fatalf("fence %d after %d", entry.Fence, fences[command.Key])
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
		Window:       20_000 * ms,
		Work:         []byte("w"),
		Fence:        rapid.Uint64Range(0, 12).Draw(t, "fence"),
		NewOwner:     nodeB,
		MeasuredFrom: table.Time(),
		Seq:          uint64(n),
		InvocationID: "c",
	}
	if entry := table.Find(command.Key); entry != nil && rapid.Bool().Draw(t, "fenced by its owner") {
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
		t.Fatal("a restored table has another snapshot")
	}
	return restored
}

// checkIndices compares the size of a table and its index by owner with its claims.
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
		t.Fatalf("%d bytes of claims, %d counted", size, bytes)
	}
	for _, owner := range table.Owners() {
		owned -= len(table.OwnedBy(owner))
	}
	if owned != 0 {
		t.Fatalf("%d claims have no owner to be lost with", owned)
	}
}
