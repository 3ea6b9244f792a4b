package main

import (
	"fmt"
	"os"

	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/segmentstore"
)

// resultsCommands are the commands about the results that a stopped node has stored by idempotency key.
type resultsCommands struct {
	List   resultsList   `cmd:"" help:"List the tokens: operation, tenant, how the run ended or that it is unknown."`
	Show   resultsShow   `cmd:"" help:"Print what is kept of one token, its result included."`
	Settle resultsSettle `cmd:"" help:"Say how a run of unknown outcome ended, so that its token is answered so."`
	Forget resultsForget `cmd:"" help:"Forget a token: it may run again."`
}

// tokenSelector selects the record of an idempotency key.
type tokenSelector struct {
	storeDirectory
	Token     string `arg:"" help:"The token."`
	Operation string `help:"Name of its operation, where several have the token; in records of earlier builds its number in the settings."`
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

// Run lists the idempotency keys.
func (c *resultsList) Run() error {
	records, err := c.latestRecords()
	if err != nil {
		return err
	}
	w := newTable("token\toperation\ttenant\tstate\tresult bytes\twindow ends")
	for i := range records {
		if r := &records[i]; !c.Unknown || r.Kind != segmentstore.RunEnded {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Token, operationText(r), tenantText(r), stateName(r), len(r.Result), formatExpiry(r.ExpiresAt))
		}
	}
	return w.Flush()
}

// find returns the only record of the selected idempotency key.
func (t *tokenSelector) find(records []segmentstore.Record) (*segmentstore.Record, error) {
	var found []*segmentstore.Record
	for i := range records {
		if r := &records[i]; r.Token == t.Token && (t.Operation == "" || operationText(r) == t.Operation) {
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

// Run prints one record.
func (c *resultsShow) Run() error {
	records, err := c.latestRecords()
	if err != nil {
		return err
	}
	r, err := c.find(records)
	if err != nil {
		return err
	}
	fmt.Printf("token %s\noperation %s\ntenant %s\nstate %s\nwindow ends %s\nresult %q\n", r.Token, operationText(r), tenantText(r), stateName(r), formatExpiry(r.ExpiresAt), r.Result)
	return nil
}

// Run appends the end of a run whose outcome is unknown.
func (c *resultsSettle) Run() error {
	directory, limits, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	log, records, _, err := segmentstore.Open(directory, limits)
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
	r.Kind = segmentstore.RunEnded
	r.Outcome = uint8(resultcache.Failed)
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

// Run rewrites the store without an idempotency key.
func (c *resultsForget) Run() error {
	records, err := c.latestRecords()
	if err != nil {
		return err
	}
	forgotten, err := c.find(records)
	if err != nil {
		return err
	}
	directory, limits, unlock, err := c.open()
	if err != nil {
		return err
	}
	defer unlock()
	_, _, err = segmentstore.Compact(directory, limits, func(r *segmentstore.Record) bool {
		return r.TokenKey() != forgotten.TokenKey()
	})
	if err == nil {
		fmt.Printf("%s is forgotten: it may run again\n", c.Token)
	}
	return err
}
