package configsync

import (
	"cmp"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// entry is an item of a block, with its encoding.
type entry struct {
	part    byte
	name    []byte
	value   []byte
	encoded []byte // the whole entry
}

func (e *entry) item() Item { return Item{partNames[e.part], string(e.name), e.value} }

// compare orders entries by part, then by name.
func (e *entry) compare(part byte, name string) int {
	if n := cmp.Compare(e.part, part); n != 0 {
		return n
	}
	return strings.Compare(string(e.name), name) // the conversion does not allocate
}

// readEntry decodes the first entry of a block. ok is false if the entry is malformed.
func readEntry(block []byte) (e entry, rest []byte, ok bool) {
	if len(block) == 0 || int(block[0]) >= partCount {
		return e, nil, false
	}
	e.part = block[0]
	e.name, rest, ok = readString(block[1:], maxNameBytes)
	if !ok {
		return e, nil, false
	}
	e.value, rest, ok = readString(rest, maxValueBytes)
	e.encoded = block[:len(block)-len(rest)]
	return e, rest, ok && len(e.value) > 0
}

// readString decodes a length-prefixed string of at most limit bytes.
func readString(from []byte, limit uint64) (text, rest []byte, ok bool) {
	n, used := binary.Uvarint(from)
	if used <= 0 || n > limit || n > uint64(len(from)-used) {
		return nil, nil, false
	}
	from = from[used:]
	return from[:n:n], from[n:], true
}

func appendEntry(to []byte, part byte, name string, value []byte) []byte {
	to = binary.AppendUvarint(append(to, part), uint64(len(name)))
	to = binary.AppendUvarint(append(to, name...), uint64(len(value)))
	return append(to, value...)
}

// blockOf returns the number of the block to which an item belongs.
func blockOf(part byte, name string) int {
	var room [maxNameBytes + 1]byte
	return int(xxhash.Sum64(append(append(room[:0], part), name...)) >> (64 - blockBits))
}

// checkBlock returns the digest of a block that was received or read back. ok is false if the block is malformed, or has an item that
// does not belong to block n.
func checkBlock(n int, block []byte) (sum Digest, ok bool) {
	if len(block) > maxBlockBytes {
		return sum, false
	}
	var last entry
	for first := true; len(block) > 0; first = false {
		e, rest, wellFormed := readEntry(block)
		if !wellFormed || len(e.name) == 0 || blockOf(e.part, string(e.name)) != n || !first && last.compare(e.part, string(e.name)) >= 0 {
			return sum, false
		}
		sum = sum.plus(hashItem(e.encoded))
		last = e
		block = rest
	}
	return sum, true
}
