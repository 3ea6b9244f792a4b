package configsync

import (
	"bytes"
	"fmt"
	"slices"
)

// Build is a content of many items at once, the later counting where one comes twice. They are yielded two times, alike: each
// block is made at the size that it has in the end. Made by Apply some at a time, blocks of all sizes on the way there would be
// left behind as holes, half as much again as the content. An item that can't be held is told by name.
func Build(all func(yield func(Item))) (*Content, error) {
	var sizes [Blocks]int
	var room []byte
	var err error
	all(func(i Item) {
		if err == nil {
			err = i.validate()
		}
		if err == nil && len(i.Value) > 0 {
			part := byte(slices.Index(partNames[:], i.Part))
			room = appendEntry(room[:0], part, i.Name, i.Value)
			sizes[blockOf(part, i.Name)] += len(room)
		}
	})
	if err != nil {
		return nil, err
	}
	var blocks [Blocks][]byte
	for n, size := range sizes {
		blocks[n] = make([]byte, 0, size)
	}
	all(func(i Item) {
		if len(i.Value) > 0 {
			part := byte(slices.Index(partNames[:], i.Part))
			n := blockOf(part, i.Name)
			blocks[n] = appendEntry(blocks[n], part, i.Name, i.Value)
		}
	})
	c, own := new(Content), [fanout]bool{}
	var entries []entry
	for n := range blocks {
		if len(blocks[n]) == 0 {
			continue
		}
		room, entries = append(room[:0], blocks[n]...), entries[:0]
		for rest := room; len(rest) > 0; {
			var e entry
			e, rest, _ = readEntry(rest)
			entries = append(entries, e)
		}
		slices.SortStableFunc(entries, func(a, b entry) int { return a.compare(b.part, string(b.name)) })
		block := blocks[n][:0]
		for k := range entries {
			if e := &entries[k]; k+1 == len(entries) || entries[k+1].compare(e.part, string(e.name)) != 0 {
				block = append(block, e.encoded...)
			}
		}
		if len(block) > maxBlockBytes {
			e := &entries[0]
			return nil, fmt.Errorf("configuration: no room for %s %q: names that fall together have %d bytes, %d at the most; make values smaller",
				partNames[e.part], e.name, len(block), maxBlockBytes)
		}
		if len(block) < cap(block) {
			block = bytes.Clone(block)
		}
		c.set(n, block, &own)
		blocks[n] = nil
	}
	if c.bytes > maxContentBytes {
		return nil, fmt.Errorf("configuration: %d bytes in all, %d at the most; make values smaller or remove some", c.bytes, maxContentBytes)
	}
	return c, nil
}
