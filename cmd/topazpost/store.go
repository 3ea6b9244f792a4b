package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
	"topazpost/server"
)

// storeCommands are the commands about the files that results are stored in.
type storeCommands struct {
	Inspect storeInspect `cmd:"" help:"Print each segment: records, bytes, end of the last window."`
	Verify  storeVerify  `cmd:"" help:"Read all segments; fails with file and offset where one is broken."`
	Compact storeCompact `cmd:"" help:"Keep the last state of each token only."`
	Export  storeExport  `cmd:"" help:"Print the last state of each token as a JSON object a line."`
}

// storeDirectory is the directory of a store.
type storeDirectory struct {
	Folder string `arg:"" help:"Folder of the store; its node must be stopped." type:"existingdir"`
}

type (
	storeInspect struct{ storeDirectory }
	storeVerify  struct{ storeDirectory }
	storeCompact struct{ storeDirectory }
	storeExport  struct{ storeDirectory }
)

const (
	segmentSuffix       = ".seg"
	defaultSegmentBytes = 1 << 20 // of a store without segments
)

var errBrokenStore = errors.New("the store is broken; nothing was changed")

// open locks a store and returns the size of its segments; the function unlocks it.
func (f *storeDirectory) open() (segmentstore.Directory, segmentstore.Limits, func(), error) {
	directory := segmentstore.Directory(f.Folder)
	unlock, err := server.LockStore(f.Folder)
	if err != nil {
		return directory, segmentstore.Limits{}, nil, err
	}
	names, err := directory.Names()
	if err != nil {
		unlock()
		return directory, segmentstore.Limits{}, nil, err
	}
	limits := segmentstore.Limits{SegmentBytes: defaultSegmentBytes, MaxBytes: math.MaxInt64}
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			if info, err := os.Stat(filepath.Join(f.Folder, name)); err == nil {
				limits.SegmentBytes = info.Size()
			}
		}
	}
	return directory, limits, unlock, nil
}

// latestRecords returns the last record of each idempotency key.
func (f *storeDirectory) latestRecords() ([]segmentstore.Record, error) {
	directory, limits, unlock, err := f.open()
	if err != nil {
		return nil, err
	}
	defer unlock()
	_, records, _, err := segmentstore.Open(directory, limits)
	return segmentstore.LatestRecords(records), err
}

var outcomeNames = map[resultcache.Outcome]string{
	resultcache.Succeeded:    "succeeded",
	resultcache.Failed:       "errored",
	resultcache.NeverStarted: "not run",
}

// stateName returns how the run of a record ended.
func stateName(r *segmentstore.Record) string {
	if r.Kind != segmentstore.RunEnded {
		return "unknown"
	}
	return outcomeNames[resultcache.Outcome(r.Outcome)]
}

// operationText returns the name of a record's operation, or its index in a record of an earlier build.
func operationText(r *segmentstore.Record) string {
	if r.HasName() {
		return r.OperationName
	}
	return strconv.Itoa(int(r.Operation))
}

// tenantText returns the name of a record's tenant, or its index in a record of an earlier build.
func tenantText(r *segmentstore.Record) string {
	if !r.HasName() {
		return strconv.Itoa(int(r.Tenant))
	}
	return cmp.Or(r.TenantName, "-")
}

// formatExpiry formats a time in nanoseconds since 1970.
func formatExpiry(until int64) string {
	if until <= 0 || until >= math.MaxInt64/2 {
		return "-"
	}
	return time.Unix(0, until).UTC().Format(time.RFC3339)
}

// eachSegment calls visit for each file, whether it is valid or not.
func (f *storeDirectory) eachSegment(visit func(name string, data []byte, scan *segmentstore.ScanResult, err error)) error {
	directory, _, unlock, err := f.open()
	if err != nil {
		return err
	}
	defer unlock()
	names, err := directory.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			data, err := directory.Read(name)
			if err != nil {
				return err
			}
			scan, err := segmentstore.Scan(data)
			visit(name, data, scan, err)
		}
	}
	return nil
}

// Run prints the segments.
func (c *storeInspect) Run() error {
	w := newTable("segment\trecords\tbytes used\tof\tleft by a crash\tlast window ends")
	err := c.eachSegment(func(name string, data []byte, s *segmentstore.ScanResult, err error) {
		if err != nil {
			fmt.Fprintf(w, "%s\t%v\n", name, err)
			return
		}
		until := int64(0)
		for _, r := range s.Records {
			until = max(until, r.ExpiresAt)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\n", name, len(s.Records), s.End, len(data), s.Dropped, formatExpiry(until))
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

// Run reads all segments.
func (c *storeVerify) Run() error {
	broken := 0
	records := 0
	err := c.eachSegment(func(name string, _ []byte, s *segmentstore.ScanResult, err error) {
		if err != nil {
			broken++
			fmt.Printf("%s: %v\n", filepath.Join(c.Folder, name), err)
			return
		}
		records += len(s.Records)
	})
	if err == nil && broken > 0 {
		err = errBrokenStore
	}
	if err == nil {
		fmt.Printf("sound, %d records\n", records)
	}
	return err
}

// Run compacts the store.
func (c *storeCompact) Run() error {
	directory, limits, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	before, after, err := segmentstore.Compact(directory, limits, func(*segmentstore.Record) bool { return true })
	if err == nil {
		fmt.Printf("%d bytes before, %d after\n", before, after)
	}
	return err
}

// Run prints the last record of each idempotency key.
func (c *storeExport) Run() error {
	records, err := c.latestRecords()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for i := range records {
		r := &records[i]
		err := out.Encode(struct {
			Token         string `json:"token"`
			Operation     int32  `json:"operation"`
			Tenant        int32  `json:"tenant"`
			OperationName string `json:"operation_name,omitempty"`
			TenantName    string `json:"tenant_name,omitempty"`
			State         string `json:"state"`
			Until         int64  `json:"until_unix_ns"`
			Result        []byte `json:"result,omitempty"`
		}{r.Token, r.Operation, r.Tenant, r.OperationName, r.TenantName, stateName(r), r.ExpiresAt, r.Result})
		if err != nil {
			return err
		}
	}
	return nil
}
