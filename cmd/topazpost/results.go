package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
	"topazpost/server"
)

// resultsCommands are the commands about what a node that is stopped has resultsCommands of tokened invocations.
type resultsCommands struct {
	List   resultsList   `cmd:"" help:"List the tokens: operation, tenant, how the run ended or that it is unknown."`
	Show   resultsShow   `cmd:"" help:"Print what is kept of one token, its result included."`
	Settle resultsSettle `cmd:"" help:"Say how a run of unknown outcome ended, so that its token is answered so."`
	Forget resultsForget `cmd:"" help:"Forget a token: it may run again."`
}

// storeCommands are the commands about the files.
type storeCommands struct {
	Inspect storeInspect `cmd:"" help:"Print each segment: records, bytes, end of the last window."`
	Verify  storeVerify  `cmd:"" help:"Read all segments; fails with file and offset where one is broken."`
	Compact storeCompact `cmd:"" help:"Keep the last state of each token only."`
	Export  storeExport  `cmd:"" help:"Print the last state of each token as a JSON object a line."`
}

type storeDirectory struct {
	Folder string `arg:"" help:"Folder of the store; its node must be stopped." type:"existingdir"`
}

type tokenSelector struct {
	storeDirectory
	Token     string `arg:"" help:"The token."`
	Operation int32  `help:"Number of its operation in the settings, where several have the token." default:"-1"`
}

type resultsList struct {
	storeDirectory
	Unknown bool `help:"Only those of unknown outcome."`
}

type resultsShow struct{ tokenSelector }

type resultsSettle struct {
	tokenSelector
	Ending string `help:"How it ended: succeeded or errored." required:"" enum:"succeeded,errored"`
	Result string `help:"File with the result of one that succeeded." type:"existingfile" placeholder:"FILE"`
}

type resultsForget struct{ tokenSelector }

type (
	storeInspect struct{ storeDirectory }
	storeVerify  struct{ storeDirectory }
	storeCompact struct{ storeDirectory }
	storeExport  struct{ storeDirectory }
)

var errBrokenStore = errors.New("the store is broken; nothing was changed")

// open locks a store and finds the size of its segments.
func (f *storeDirectory) open() (segmentstore.Directory, segmentstore.Limits, func(), error) {
	at := segmentstore.Directory(f.Folder)
	unlock, err := server.LockStore(f.Folder)
	if err != nil {
		return at, segmentstore.Limits{}, nil, err
	}
	names, err := at.Names()
	if err != nil {
		unlock()
		return at, segmentstore.Limits{}, nil, err
	}
	bounds := segmentstore.Limits{SegmentBytes: 1 << 20, MaxBytes: math.MaxInt64}
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			if info, err := os.Stat(filepath.Join(f.Folder, name)); err == nil {
				bounds.SegmentBytes = info.Size()
			}
		}
	}
	return at, bounds, unlock, nil
}

func (f *storeDirectory) latestRecords() ([]segmentstore.Record, error) {
	at, bounds, unlock, err := f.open()
	if err != nil {
		return nil, err
	}
	defer unlock()
	_, records, _, err := segmentstore.Open(at, bounds)
	return segmentstore.LatestRecords(records), err
}

func stateName(r *segmentstore.Record) string {
	if r.Kind != segmentstore.RunEnded {
		return "unknown"
	}
	return map[resultcache.Outcome]string{resultcache.Succeeded: "succeeded", resultcache.Failed: "errored", resultcache.NeverStarted: "not run"}[resultcache.Outcome(r.Outcome)]
}

func formatExpiry(until int64) string {
	if until <= 0 || until >= math.MaxInt64/2 {
		return "-"
	}
	return time.Unix(0, until).UTC().Format(time.RFC3339)
}

// Run lists the tokens.
func (c *resultsList) Run() error {
	last, err := c.latestRecords()
	if err != nil {
		return err
	}
	w := newTable("token\toperation\ttenant\tstate\tresult bytes\twindow ends")
	for i := range last {
		if r := &last[i]; !c.Unknown || r.Kind != segmentstore.RunEnded {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\t%s\n", r.Token, r.Operation, r.Tenant, stateName(r), len(r.Result), formatExpiry(r.ExpiresAt))
		}
	}
	return w.Flush()
}

// find is the one record that a token names.
func (t *tokenSelector) find(last []segmentstore.Record) (*segmentstore.Record, error) {
	var found []*segmentstore.Record
	for i := range last {
		if r := &last[i]; r.Token == t.Token && (t.Operation < 0 || r.Operation == t.Operation) {
			found = append(found, r)
		}
	}
	switch len(found) {
	case 0:
		return nil, fmt.Errorf("no token %q is kept in %s; `results list` shows those that are", t.Token, t.Folder)
	case 1:
		return found[0], nil
	}
	return nil, fmt.Errorf("%d operations or tenants have the token %q; name one with --operation", len(found), t.Token)
}

// Run prints one.
func (c *resultsShow) Run() error {
	last, err := c.latestRecords()
	if err != nil {
		return err
	}
	r, err := c.find(last)
	if err != nil {
		return err
	}
	fmt.Printf("token %s\noperation %d\ntenant %d\nstate %s\nwindow ends %s\nresult %q\n", r.Token, r.Operation, r.Tenant, stateName(r), formatExpiry(r.ExpiresAt), r.Result)
	return nil
}

// Run writes the end of a run behind what is there.
func (c *resultsSettle) Run() error {
	at, bounds, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	log, records, _, err := segmentstore.Open(at, bounds)
	if err != nil {
		return err
	}
	r, err := c.find(segmentstore.LatestRecords(records))
	if err != nil {
		return err
	}
	if r.Kind == segmentstore.RunEnded {
		return fmt.Errorf("the run of %q is known to have %s; only an unknown one is settled", c.Token, stateName(r))
	}
	r.Kind, r.Outcome = segmentstore.RunEnded, uint8(resultcache.Failed)
	if c.Ending == "succeeded" {
		r.Outcome = uint8(resultcache.Succeeded)
		if c.Result != "" {
			if r.Result, err = os.ReadFile(c.Result); err != nil {
				return err
			}
		}
	}
	if err := log.Write([]segmentstore.Record{*r}, true); err != nil {
		return err
	}
	fmt.Printf("%s is settled as %s\n", c.Token, c.Ending)
	return log.Close()
}

// Run writes the store anew without a token.
func (c *resultsForget) Run() error {
	last, err := c.latestRecords()
	if err != nil {
		return err
	}
	gone, err := c.find(last)
	if err != nil {
		return err
	}
	at, bounds, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	_, _, err = segmentstore.Compact(at, bounds, func(r *segmentstore.Record) bool {
		return r.Token != gone.Token || r.Operation != gone.Operation || r.Tenant != gone.Tenant
	})
	if err == nil {
		fmt.Printf("%s is forgotten: it may run again\n", c.Token)
	}
	return err
}

// eachSegment reads each file on its own, so that one that is broken hides no other.
func (f *storeDirectory) eachSegment(tell func(name string, data []byte, s *segmentstore.ScanResult, err error)) error {
	at, _, unlock, err := f.open()
	if err != nil {
		return err
	}
	defer unlock()
	names, err := at.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") {
			data, err := at.Read(name)
			if err != nil {
				return err
			}
			s, err := segmentstore.Scan(data)
			tell(name, data, s, err)
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

// Run reads all.
func (c *storeVerify) Run() error {
	broken, records := 0, 0
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

// Run compacts.
func (c *storeCompact) Run() error {
	at, bounds, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	before, after, err := segmentstore.Compact(at, bounds, func(*segmentstore.Record) bool { return true })
	if err == nil {
		fmt.Printf("%d bytes before, %d after\n", before, after)
	}
	return err
}

// Run exports.
func (c *storeExport) Run() error {
	last, err := c.latestRecords()
	if err != nil {
		return err
	}
	out := json.NewEncoder(os.Stdout)
	for i := range last {
		r := &last[i]
		err := out.Encode(struct {
			Token     string `json:"token"`
			Operation int32  `json:"operation"`
			Tenant    int32  `json:"tenant"`
			State     string `json:"state"`
			Until     int64  `json:"until_unix_ns"`
			Result    []byte `json:"result,omitempty"`
		}{r.Token, r.Operation, r.Tenant, stateName(r), r.ExpiresAt, r.Result})
		if err != nil {
			return err
		}
	}
	return nil
}
