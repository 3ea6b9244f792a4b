package configsync

import (
	"bytes"
	"slices"
)

// Build returns a content with the given items. Repeated calls of Apply would fragment the heap with intermediate blocks of all sizes, so Build
// first computes the size of each block and allocates it once. For that it calls all twice, which must yield the same items in the same order.
// Of several items with one part and name the last one counts. Unlike in Apply, items without a value are ignored: they don't remove earlier
// items. An error names the invalid item.
func Build(all func(yield func(Item))) (*Content, error) {
	sizes, err := blockSizes(all)
	if err != nil {
		return nil, err
	}
	blocks := fillBlocks(all, sizes)
	content := new(Content)
	owned := [fanout]bool{}
	var scratch []byte
	var entries []entry
	for n := range blocks {
		if len(blocks[n]) == 0 {
			continue
		}
		scratch = append(scratch[:0], blocks[n]...) // entries point into this copy while the block is overwritten
		entries = sortedEntries(entries[:0], scratch)
		block := appendLastOfEach(blocks[n][:0], entries)
		if len(block) > maxBlockBytes {
			return nil, errBlockFull(partNames[entries[0].part], string(entries[0].name), len(block))
		}
		if len(block) < cap(block) {
			block = bytes.Clone(block)
		}
		content.setBlock(n, block, &owned)
		blocks[n] = nil
	}
	if content.bytes > maxContentBytes {
		return nil, errContentFull(content.bytes)
	}
	return content, nil
}

// blockSizes validates all items, and returns the size of each block in bytes.
func blockSizes(all func(yield func(Item))) (*[Blocks]int, error) {
	var sizes [Blocks]int
	var scratch []byte
	var err error
	all(func(item Item) {
		if err == nil {
			err = item.validate()
		}
		if err == nil && len(item.Value) > 0 {
			part := byte(slices.Index(partNames[:], item.Part))
			scratch = appendEntry(scratch[:0], part, item.Name, item.Value)
			sizes[blockOf(part, item.Name)] += len(scratch)
		}
	})
	return &sizes, err
}

// fillBlocks appends all items to their blocks, in the order in which they are yielded. Blocks are allocated with the given sizes.
func fillBlocks(all func(yield func(Item)), sizes *[Blocks]int) *[Blocks][]byte {
	var blocks [Blocks][]byte
	for n, size := range sizes {
		blocks[n] = make([]byte, 0, size)
	}
	all(func(item Item) {
		if len(item.Value) > 0 {
			part := byte(slices.Index(partNames[:], item.Part))
			n := blockOf(part, item.Name)
			blocks[n] = appendEntry(blocks[n], part, item.Name, item.Value)
		}
	})
	return &blocks
}

// sortedEntries appends the entries of a block to entries, and sorts them by part and name; entries of one item keep their order.
func sortedEntries(entries []entry, block []byte) []entry {
	for len(block) > 0 {
		e, rest, _ := readEntry(block)
		entries = append(entries, e)
		block = rest
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return a.compare(b.part, string(b.name)) })
	return entries
}

// appendLastOfEach appends sorted entries to a block, only the last one for each item.
func appendLastOfEach(block []byte, entries []entry) []byte {
	for k := range entries {
		e := &entries[k]
		last := k+1 == len(entries) || entries[k+1].compare(e.part, string(e.name)) != 0
		if last {
			block = append(block, e.encoded...)
		}
	}
	return block
}
