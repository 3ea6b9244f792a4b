package configsync

import "fmt"

// draft is a change that is committed in several pieces, of which the last has not been applied yet.
type draft struct {
	Caller  string   `cbor:"1,keyasint,omitempty"`
	Base    uint64   `cbor:"2,keyasint,omitempty"`
	Pieces  int      `cbor:"3,keyasint,omitempty"` // number of pieces applied so far; 0 if there is no draft
	At      int64    `cbor:"4,keyasint,omitempty"` // time of the table at the last piece, in ns
	Changes []Item   `cbor:"5,keyasint,omitempty"` // only in a snapshot: the changes that lead from the newest content to the content of the draft
	Bytes   int      `cbor:"6,keyasint,omitempty"` // approximate encoded size of the pieces
	content *Content // the newest content with the pieces so far applied
}

// applyPiece applies one piece of a long change to the draft. The cost depends on the size of that piece only. It returns the complete
// content with the last piece, otherwise nil: for earlier pieces and for refusals.
func (t *Table) applyPiece(at int64, c *Command, v *Verdict) *Content {
	d := &t.draft
	otherDraftActive := d.Pieces > 0 && d.Caller != c.Caller && at < d.At+draftTimeout
	switch {
	case c.Piece == 0 && otherDraftActive:
		v.Refused = fmt.Sprintf("a long change by %s is coming in; try again when it is done, in %d s at the latest", d.Caller, draftTimeout/second)
		return nil
	case c.Piece == 0:
		*d = draft{Caller: c.Caller, Base: c.Base, content: t.newest}
	case d.Caller != c.Caller || d.Pieces != c.Piece || d.Base != c.Base:
		v.Refused = fmt.Sprintf("piece %d doesn't follow; put all of them again from the first", c.Piece)
		return nil
	}
	d.Bytes += sizeOf(c.Changes)
	if d.Bytes > maxContentBytes {
		*d = draft{}
		v.Refused = fmt.Sprintf("over %d bytes in all", maxContentBytes)
		return nil
	}
	next, err := d.content.Apply(c.Changes)
	if err != nil {
		*d = draft{}
		v.Refused = err.Error()
		return nil
	}
	d.Pieces++
	d.At = at
	d.content = next
	v.Done = c.MorePieces
	if c.MorePieces {
		return nil
	}
	*d = draft{}
	return next
}
