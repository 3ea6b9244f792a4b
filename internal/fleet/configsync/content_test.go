package configsync

import (
	"bytes"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawItems draws changes to a small set of names, so that several changes concern the same item.
func drawItems(t *rapid.T) (list []Item) {
	for range rapid.IntRange(0, 12).Draw(t, "changes") {
		i := Item{Part: rapid.SampledFrom(partNames[:]).Draw(t, "part"), Name: fmt.Sprint("x", rapid.IntRange(0, 20).Draw(t, "name"))}
		if rapid.IntRange(0, 2).Draw(t, "removed") > 0 {
			i.Value = []byte(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value")))
		}
		list = append(list, i)
	}
	return list
}

func itemsByName(c *Content) map[string]string {
	m := map[string]string{}
	for i := range c.All {
		m[i.Part+"/"+i.Name] = string(i.Value)
	}
	return m
}

func applyTo(m map[string]string, list []Item) {
	for _, i := range list {
		delete(m, i.Part+"/"+i.Name)
		if i.Value != nil {
			m[i.Part+"/"+i.Name] = string(i.Value)
		}
	}
}

// Compares contents with plain maps under random changes: items, digests, sizes, and the changes from one content to another.
func TestContentMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Content{}
		m := map[string]string{}
		first := &Content{}
		was := map[string]string{}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			list := drawItems(t)
			next, err := c.Apply(list)
			require.NoError(t, err)
			applyTo(m, list)
			require.Equal(t, m, itemsByName(next))
			if first == c {
				was = maps.Clone(itemsByName(c))
			}
			c = next
		}
		require.Equal(t, was, itemsByName(first), "Apply does not modify the content")
		var again []Item
		for i := range c.All {
			again = append(again, i)
			require.Equal(t, i.Value, c.Get(i.Part, i.Name))
		}
		slices.Reverse(again)
		rebuilt, err := (&Content{}).Apply(again)
		require.NoError(t, err)
		require.Equal(t, c.Digest(), rebuilt.Digest(), "the digest does not depend on the order of changes")
		require.Equal(t, c.Bytes(), rebuilt.Bytes())
		size := 0
		for _, part := range partNames {
			require.Equal(t, c.PartDigest(part), rebuilt.PartDigest(part))
			size += c.Len(part)
		}
		require.Equal(t, len(m), size)
		other, err := c.Apply(drawItems(t))
		require.NoError(t, err)
		back := other
		for d := Diff(other, c); ; {
			some := d.Next(2)
			if len(some) == 0 {
				break
			}
			back, err = back.Apply(some)
			require.NoError(t, err)
		}
		require.Equal(t, m, itemsByName(back))
		require.Equal(t, c.Digest(), back.Digest())
	})
}

func TestInvalidItemsAreNamed(t *testing.T) {
	for _, c := range []struct {
		item Item
		want string
	}{
		{Item{"listeners", "a", []byte("1")}, `part "listeners" is none of operations, tenants, limits`},
		{Item{Tenants, "", []byte("1")}, "a name in tenants of 0 bytes; it must have 1 to 256"},
		{Item{Tenants, strings.Repeat("a", maxNameBytes+1), []byte("1")}, "of 257 bytes"},
		{Item{Tenants, "a", make([]byte, maxValueBytes+1)}, `tenants "a" has 4097 bytes; 4096 at the most`},
	} {
		_, err := (&Content{}).Apply([]Item{{Tenants, "valid", []byte("1")}, c.item})
		require.ErrorContains(t, err, c.want)
	}
	c := &Content{}
	err := error(nil)
	for n := 0; err == nil; n += 500 { // adds values of the maximum size until a block is full
		list := make([]Item, 500)
		for k := range list {
			list[k] = Item{Tenants, fmt.Sprint(n + k), bytes.Repeat([]byte("1"), maxValueBytes)}
		}
		c, err = c.Apply(list)
	}
	require.ErrorContains(t, err, "make values smaller")
}

func TestCanonicalForm(t *testing.T) {
	got, err := Canonical([]byte(" {\"b\": 1.50, \"a\": [true, null, \"<x>\"]}\n"))
	require.NoError(t, err)
	require.Equal(t, `{"a":[true,null,"<x>"],"b":1.50}`, string(got))
	again, err := Canonical(got)
	require.NoError(t, err)
	require.Equal(t, got, again)
	for _, bad := range []string{"", "{", "1 2", "{}x"} {
		_, err := Canonical([]byte(bad))
		require.Error(t, err, bad)
	}
}

// fullContent returns a content with the given numbers of operations and tenants.
func fullContent(t testing.TB, operations, tenants int) *Content {
	list := make([]Item, 0, operations+tenants)
	for k := range operations {
		list = append(list, Item{Operations, fmt.Sprintf("region-%d/service-%d/operation-%d", k%7, k%390, k),
			[]byte(fmt.Sprintf(`{"criticality":"degraded","effect":"once","timeout_ms":%d,"tokens":{"window_ms":%d},"weight":%d}`, k%900, k%20000, k%17))})
	}
	for k := range tenants {
		list = append(list, Item{Tenants, fmt.Sprintf("tenant-%08d", k), []byte(fmt.Sprintf(`{"burst":%d,"rate":%d,"share":%d}`, k%50, k%900, k%7))})
	}
	c, err := (&Content{}).Apply(list)
	require.NoError(t, err)
	return c
}

// heapAlloc returns the bytes of live heap objects.
func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards the memory of a full configuration: a content must take little more than its encoded items, and a version with one changed item
// must share the other blocks with the version before it.
func TestMemoryAtFullSize(t *testing.T) {
	before := heapAlloc()
	c := fullContent(t, 4_700, 130_000)
	used := int64(heapAlloc()) - int64(before)
	t.Logf("%d bytes of encoded items take %d bytes of memory", c.Bytes(), used)
	require.Less(t, used, int64(10<<20)) // the items take less than 7 MiB encoded
	largest := 0
	for n := range Blocks {
		block, _ := c.Block(n)
		largest = max(largest, len(block))
	}
	t.Logf("the largest of %d blocks has %d bytes", Blocks, largest)
	require.Less(t, largest, maxPieceBytes) // so that each block fits an answer to a fetch
	versions := []*Content{c}
	for k := range 20 { // each shares the unchanged blocks with the one before
		next, err := versions[k].Apply([]Item{{Tenants, fmt.Sprintf("tenant-%08d", k), []byte("1")}})
		require.NoError(t, err)
		versions = append(versions, next)
	}
	more := int64(heapAlloc()) - int64(before) - used
	t.Logf("20 further versions with one change each: %d bytes", more)
	require.Less(t, more, int64(20*2*maxPieceBytes)) // each version copies one block and one page
	runtime.KeepAlive(versions)
}

func BenchmarkChangeAtFullSize(b *testing.B) {
	c := fullContent(b, 4_700, 130_000)
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		if _, err := c.Apply([]Item{{Tenants, fmt.Sprintf("tenant-%08d", k%130_000), []byte("1")}}); err != nil {
			b.Fatal(err)
		}
	}
}

// Reads the file of a node back in chunks of several sizes: a complete file, one that is truncated at each byte, and one with each byte
// corrupted. A damaged file must never yield a content that does not match its revision.
func TestDiskFileIsReadBack(t *testing.T) {
	table := NewTable()
	table.Apply(1, &Command{Kind: CommandPut, Caller: "a", Seq: 1, Changes: []Item{{Tenants, "x", []byte("1")}, {Limits, "y", []byte("2")}}})
	file := []byte{}
	base := table.newest
	for text := range Encode(Revision{1, base.Digest()}, base) {
		file = append(file, text...)
	}
	begin := len(file)
	for k := range 3 {
		table.Apply(1, &Command{Kind: CommandPut, Caller: "a", Seq: uint64(k + 2), Base: uint64(k + 1), Changes: []Item{{Tenants, fmt.Sprint(k), []byte("1")}}})
		file = AppendRecord(file, table.log[k+1])
	}
	load := func(text []byte, chunk int) (InitialState, error) {
		loader := &DiskLoader{}
		for len(text) > 0 {
			n := min(chunk, len(text))
			_, _ = loader.Write(text[:n])
			text = text[n:]
		}
		return loader.Start()
	}
	for _, chunk := range []int{1, 7, len(file)} {
		s, err := load(file, chunk)
		require.NoError(t, err)
		require.Equal(t, Revision{4, table.newest.Digest()}, s.ContentRevision)
		require.Equal(t, s.ContentRevision.Digest, s.Content.Digest())
		require.Equal(t, len(file)-begin, s.Journal)
	}
	for end := range len(file) { // truncated: the content, if any, must be that of the revision
		s, err := load(file[:end], 64)
		if s.ContentRevision.Version > 0 {
			require.Equal(t, s.ContentRevision.Digest, s.Content.Digest())
			require.Equal(t, s.ContentRevision.Digest, table.log[s.ContentRevision.Version-1].Digest)
		} else {
			require.Error(t, err)
		}
	}
	for k := range file { // one corrupted byte
		other := bytes.Clone(file)
		other[k] ^= 0x10
		s, err := load(other, len(other))
		require.Error(t, err)
		require.True(t, s.Journal < 0 || s.Content == nil) // a negative Journal makes the node rewrite the file
		if s.Content != nil {
			require.Equal(t, s.ContentRevision.Digest, s.Content.Digest())
		}
	}
}
