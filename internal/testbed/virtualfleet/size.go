package virtualfleet

import (
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
)

// messageSize returns the bytes of an envelope that holds a message without making it: records would be encoded by the
// million. A test compares it with the envelope itself.
func messageSize(msg *membership.Message) int {
	size := envelope.HeaderBytes + 1 + keyedInteger(uint64(msg.Kind)) + optionalInteger(uint64(msg.From)) + optionalInteger(uint64(msg.Seq)) +
		optionalInteger(msg.Digest) + optionalText(msg.Detail)
	if msg.LinkWanted {
		size += 2
	}
	if n := len(msg.Records); n > 0 {
		size += 1 + headerSize(uint64(n))
		for i := range msg.Records {
			size += recordSize(&msg.Records[i])
		}
	}
	if n := len(msg.Summaries); n > 0 {
		size += 1 + headerSize(uint64(n))
		for i := range msg.Summaries {
			h := &msg.Summaries[i]
			size += 1 + keyedInteger(uint64(h.ID)) + keyedInteger(h.Incarnation) + optionalInteger(uint64(h.RecordVersion))
		}
	}
	return size + optionalList(msg.Wanted)
}

func recordSize(r *membership.Record) int {
	born := uint64(r.StartedAt)
	if r.StartedAt < 0 {
		born = uint64(-1 - r.StartedAt)
	}
	size := 1 + 1 + headerSize(uint64(len(r.Name))) + len(r.Name) + 1 + headerSize(uint64(len(r.Address))) + len(r.Address) +
		keyedInteger(born) + keyedInteger(r.Incarnation) + optionalInteger(uint64(r.RecordVersion)) + optionalList(r.Links)
	if r.Left {
		size += 2
	}
	if f := r.Facts; f != (membership.Facts{}) {
		size += 2 + optionalText(f.Version) + optionalText(f.Zone) + optionalInteger(uint64(f.Level)) + optionalInteger(uint64(f.DrainPhase))
		if f.NoExecutor {
			size += 2
		}
	}
	return size
}

// headerSize is the bytes of an item's headerSize in CBOR that holds a number: its value, or how long it is.
func headerSize(v uint64) int {
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

// keyedInteger is a number with its key in a map, optional one that is left out where it is 0.
func keyedInteger(v uint64) int { return 1 + headerSize(v) }

func optionalInteger(v uint64) int {
	if v == 0 {
		return 0
	}
	return keyedInteger(v)
}

func optionalText(s string) int {
	if s == "" {
		return 0
	}
	return keyedInteger(uint64(len(s))) + len(s)
}

func optionalList(ids []membership.ID) int {
	if len(ids) == 0 {
		return 0
	}
	size := keyedInteger(uint64(len(ids)))
	for _, id := range ids {
		size += headerSize(uint64(id))
	}
	return size
}
