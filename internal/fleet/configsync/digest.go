package configsync

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	digestBytes    = 16
	secondHashSeed = 0x63_6f_6e_66_32 // seed of the second half of a digest
)

// Digest identifies a set of items. It is the sum of the hashes of the items, so it does not depend on their order, and an update for one
// changed item needs only the hashes of that item. It detects faults, not forgeries.
type Digest struct {
	_    struct{} `cbor:",toarray"`
	A, B uint64
}

func (d Digest) String() string { return fmt.Sprintf("%016x%016x", d.A, d.B) }

func (d Digest) plus(other Digest) Digest { return Digest{A: d.A + other.A, B: d.B + other.B} }

func (d Digest) minus(other Digest) Digest { return Digest{A: d.A - other.A, B: d.B - other.B} }

func (d Digest) append(to []byte) []byte {
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(to, d.A), d.B)
}

// digestAt decodes the k-th of concatenated digests.
func digestAt(b []byte, k int) Digest {
	b = b[k*digestBytes:]
	return Digest{A: binary.LittleEndian.Uint64(b), B: binary.LittleEndian.Uint64(b[8:])}
}

// hashItem returns the digest of one encoded item.
func hashItem(encoded []byte) Digest {
	var second xxhash.Digest
	second.ResetWithSeed(secondHashSeed)
	_, _ = second.Write(encoded)
	return Digest{A: xxhash.Sum64(encoded), B: second.Sum64()}
}
