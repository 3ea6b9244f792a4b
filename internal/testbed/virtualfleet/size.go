package virtualfleet

import (
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

// sizeOf is the bytes of a letter that holds a message, without making it: a herd's records would be encoded by the
// million. It is held against the letter itself by a test.
func sizeOf(msg *membership.Message) int {
	size := envelope.Head + 1 + member(uint64(msg.Kind)) + optional(uint64(msg.From)) + optional(uint64(msg.Seq)) +
		optional(msg.Digest) + text(msg.Why)
	if msg.Neighbour {
		size += 2
	}
	if n := len(msg.Records); n > 0 {
		size += 1 + head(uint64(n))
		for i := range msg.Records {
			size += sizeOfRecord(&msg.Records[i])
		}
	}
	if n := len(msg.Heads); n > 0 {
		size += 1 + head(uint64(n))
		for i := range msg.Heads {
			h := &msg.Heads[i]
			size += 1 + member(uint64(h.ID)) + member(h.Incarnation) + optional(uint64(h.RecordVersion))
		}
	}
	return size + list(msg.Wanted)
}

func sizeOfRecord(r *membership.Record) int {
	born := uint64(r.StartedAt)
	if r.StartedAt < 0 {
		born = uint64(-1 - r.StartedAt)
	}
	size := 1 + 1 + head(uint64(len(r.Name))) + len(r.Name) + 1 + head(uint64(len(r.Address))) + len(r.Address) +
		member(born) + member(r.Incarnation) + optional(uint64(r.RecordVersion)) + list(r.Links)
	if r.Left {
		size += 2
	}
	if f := r.Facts; f != (membership.Facts{}) {
		size += 2 + text(f.Version) + text(f.Zone) + optional(uint64(f.Level)) + optional(uint64(f.Beat))
		if f.NoUse {
			size += 2
		}
	}
	return size
}

// head is the bytes of an item's head in CBOR that holds a number: its value, or how long it is.
func head(v uint64) int {
	switch {
	case v < 24:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	}
	return 9
}

// member is a number with its key in a map, optional one that is left out where it is 0.
func member(v uint64) int { return 1 + head(v) }

func optional(v uint64) int {
	if v == 0 {
		return 0
	}
	return member(v)
}

func text(s string) int {
	if s == "" {
		return 0
	}
	return member(uint64(len(s))) + len(s)
}

func list(ids []membership.ID) int {
	if len(ids) == 0 {
		return 0
	}
	size := member(uint64(len(ids)))
	for _, id := range ids {
		size += head(uint64(id))
	}
	return size
}
