package configsync

import (
	"bytes"
	"errors"
	"fmt"

	"topazpost/internal/cborcodec"
)

var errLogGaps = errors.New("configuration: snapshot log has gaps")

const maxArrayElements = 1 << 21 // items of one list in a snapshot

var cborDecoding = cborcodec.SnapshotDecMode(maxArrayElements)

// Restore decodes a snapshot into a table.
func Restore(text []byte) (*Table, error) {
	var saved savedTable
	if err := cborDecoding.Unmarshal(text, &saved); err != nil {
		return nil, errUnreadableSnapshot(err)
	}
	newest, err := restoreBlocks(saved.Blocks)
	if err != nil {
		return nil, err
	}
	all, err := newest.Apply(saved.All)
	if err != nil {
		return nil, errUnreadableSnapshot(err)
	}
	canary, err := newest.Apply(saved.Canary)
	if err != nil {
		return nil, errUnreadableSnapshot(err)
	}
	if all.Digest() != saved.Head.All.Digest || canary.Digest() != saved.Head.Canary.Digest {
		return nil, fmt.Errorf("configuration: contents of snapshot have digests %s and %s, which differ from those in its head", all.Digest(), canary.Digest())
	}
	t := &Table{
		head:             saved.Head,
		all:              all,
		canary:           canary,
		newest:           newest,
		canarySince:      saved.CanarySince,
		log:              saved.Log,
		rollbackVersions: saved.RollbackVersions,
		lastVerdicts:     saved.LastVerdicts,
		draft:            saved.Draft,
	}
	if err := t.restoreDraft(); err != nil {
		return nil, err
	}
	if err := t.restoreLogSize(); err != nil {
		return nil, err
	}
	return t, nil
}

func errUnreadableSnapshot(cause error) error {
	return fmt.Errorf("configuration: read snapshot: %w", cause)
}

func restoreBlocks(blocks [][]byte) (*Content, error) {
	if len(blocks) != Blocks {
		return nil, fmt.Errorf("configuration: snapshot has %d blocks, expected %d", len(blocks), Blocks)
	}
	content := &Content{}
	owned := [fanout]bool{}
	for n, block := range blocks {
		if len(block) == 0 {
			continue
		}
		if _, ok := checkBlock(n, block); !ok {
			return nil, fmt.Errorf("configuration: block %d of the snapshot is malformed", n)
		}
		content.setBlock(n, bytes.Clone(block), &owned)
	}
	return content, nil
}

func (t *Table) restoreDraft() error {
	if t.draft.Pieces == 0 {
		return nil
	}
	content, err := t.newest.Apply(t.draft.Changes)
	if err != nil {
		return errUnreadableSnapshot(err)
	}
	t.draft.content = content
	t.draft.Changes = nil
	return nil
}

// restoreLogSize checks that the log has no gaps and ends with the newest version, and adds up its size.
func (t *Table) restoreLogSize() error {
	for k, record := range t.log {
		if record == nil || record.Version != t.head.Newest-uint64(len(t.log)-1-k) {
			return errLogGaps
		}
		t.logSize += record.bytes()
	}
	return nil
}
