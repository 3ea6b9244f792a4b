package cacheconfig

import (
	"fmt"
	"slices"

	"topazpost/internal/configfile"
)

const (
	maxResultBytes = 15 << 10    // of one result that a record of the store has room for
	maxBatchWindow = 100_000_000 // ns
)

// invocationFields are the fields of an invocation that have a meaning of their own.
var invocationFields = []string{"op", "call", "recv", "src", "org", "ttl", "rep", "work", "heap", "crit", "row"}

// problems are what is wrong with the configuration of a file.
func (c *Config) problems(file *configfile.File, memoryMB int) (problems configfile.ProblemErrors) {
	report := func(field, what, mend string) {
		problems = append(problems, file.At([]string{field}, what, mend))
	}
	if slices.Contains(invocationFields, c.Field) {
		report("token", fmt.Sprintf("%q is a field of its own", c.Field), "name another one")
	}
	if c.Cache.MaxResultBytes > maxResultBytes {
		report("result", "is more than a record holds", "15 KiB at the most")
	}
	if c.Cache.MaxBytes > megabytes(memoryMB)/2 {
		report("memory", fmt.Sprintf("is more than half of the node's %d MB", memoryMB), "make it smaller")
	}
	if c.BatchWindow > maxBatchWindow {
		report("gather", "is longer than 100 ms", "make it shorter: each tokened invocation waits for it")
	}
	if c.Durability != InMemory && c.Folder == "" {
		report("durability", "needs a folder", "set folder, on a disk that lasts")
	}
	if c.Limits.MaxBytes < 2*c.Limits.SegmentBytes {
		report("size", "holds fewer than two segments", "make it larger, or the segments smaller")
	}
	return problems
}
