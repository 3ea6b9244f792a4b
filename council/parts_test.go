package council

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// large is a table of a megabyte that one command changes.
type large struct {
	text   []byte
	queued []byte
	made   int // snapshots
}

func (x *large) Apply(_ int64, part []byte) { x.text = bytes.Repeat(part, 1<<20) }
func (x *large) Snapshot() ([]byte, error)  { x.made++; return x.text, nil }
func (x *large) Restore(text []byte) error  { x.text = text; return nil }
func (x *large) forget()                    { x.text = []byte{0} }
func (x *large) lead()                      {}
func (x *large) rule()                      {}
func (x *large) apart() bool                { return true }
func (x *large) next() (part []byte)        { part, x.queued = x.queued, nil; return part }

func TestLargeTableIsEncodedAndSentOnceForEachContent(t *testing.T) {
	w := newWorld(1, 4, 3)
	w.sane, w.disks = true, true
	tables := make([]*large, 3)
	w.extra = func(i int, c *Council) {
		tables[i] = &large{}
		c.tables = append(c.tables, tables[i])
		c.begin()
	}
	w.up()
	w.run(5_000 * ms)
	leader := w.leader()
	require.NotNil(t, leader)
	i := w.index(leader)
	tables[i].queued = []byte{7}
	w.run(w.now + 1_000*ms)
	lost := (i + 1) % 3
	for round := range 3 {
		w.kill(lost)
		w.machines[lost].disk = nil
		w.start(lost)
		w.run(w.now + 4_000*ms)
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[lost].text, "round %d: it came in pieces", round)
	}
	snap, err := leader.seat.storage.Snapshot()
	require.NoError(t, err)
	assert.Less(t, len(snap.GetData()), 64<<10, "a snapshot names it only")
	assert.LessOrEqual(t, tables[i].made, 2, "empty, and as it is")
	assert.LessOrEqual(t, len(leader.seat.parts), 2)
	w.down()
	w.up()
	w.run(w.now + 4_000*ms)
	for k := range tables {
		assert.Equal(t, bytes.Repeat([]byte{7}, 1<<20), tables[k].text, "it comes back from the disk")
	}
}
