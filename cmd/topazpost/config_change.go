package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	statusPollInterval = 250 * time.Millisecond
	maxListedNames     = 10 // nodes or items; the others are counted
	requestIDBytes     = 8
)

var errNotInForce = errors.New("not done")

// changeOptions are the flags of commands that make a new version.
type changeOptions struct {
	Request string        `help:"Name of this change, with which the command may be repeated: the same one counts once. Drawn without it." placeholder:"NAME"`
	Wait    bool          `help:"Wait until it is in force at every node in reach, or stopped."`
	Within  time.Duration `help:"How long to try, and to wait." default:"60s"`
}

// changeOutcome is what put and rollback print.
type changeOutcome struct {
	Done    bool     `json:"done"`
	Version uint64   `json:"version"`
	Changes int      `json:"changes"`
	Refused string   `json:"refused,omitempty"`
	Differ  []string `json:"differ,omitempty"`
	More    int      `json:"more,omitempty"`
	InForce *bool    `json:"in_force,omitempty"` // at every node in reach; only with --wait
	Missing []string `json:"missing,omitempty"`
	Stopped string   `json:"stopped_why,omitempty"`
	Request string   `json:"request"`
}

// requestID returns the idempotency key of the change, a random one unless it was given.
func (c *changeOptions) requestID() (string, error) {
	if c.Request == "" {
		b := make([]byte, requestIDBytes)
		if _, err := rand.Read(b); err != nil {
			return "", err
		}
		c.Request = hex.EncodeToString(b)
	}
	return c.Request, nil
}

// finish waits until the change is in force, where that is asked for, and prints the outcome.
func (c *changeOptions) finish(target *configTarget, o *changeOutcome, deadline time.Time) error {
	if o.Done && c.Wait {
		target.awaitInForce(o, deadline)
	}
	if target.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(o); err != nil {
			return err
		}
	} else {
		o.print()
	}
	if !o.Done || o.InForce != nil && !*o.InForce {
		return errNotInForce
	}
	return nil
}

// awaitInForce waits until the version, or a later one, is in force at every member in the replicas' view.
func (c *configTarget) awaitInForce(o *changeOutcome, deadline time.Time) {
	for {
		inForce := c.updateOutcome(o)
		o.InForce = &inForce
		if inForce || o.Stopped != "" || time.Now().After(deadline) {
			return
		}
		time.Sleep(statusPollInterval)
	}
}

// updateOutcome polls the replicas and reports whether the version is in force at all members.
func (c *configTarget) updateOutcome(o *changeOutcome) (inForce bool) {
	answers, err := c.queryReplicas()
	if err != nil {
		return false
	}
	seat := answers[0].ReplicaStatus
	head := seat.Head
	statuses := latestStatuses(answers)
	o.Missing = nil
	for _, name := range seat.Alive {
		if statuses[name].Revision.Version < o.Version {
			o.Missing = append(o.Missing, name)
		}
	}
	if head.Stopped && head.Canary.Version >= o.Version && head.All.Version < o.Version {
		o.Stopped = fmt.Sprintf("version %d goes no further: %s can't take it: %s", head.Canary.Version, head.StoppedBy, head.StopReason)
		return false
	}
	return head.All.Version >= o.Version && len(o.Missing) == 0
}

func (o *changeOutcome) print() {
	switch {
	case !o.Done:
		o.printRefusal()
	case o.Changes == 0:
		fmt.Printf("nothing differs from version %d\n", o.Version)
	default:
		fmt.Printf("agreed on as version %d, %d changes\n", o.Version, o.Changes)
	}
	switch {
	case o.Stopped != "":
		fmt.Println("stopped:", o.Stopped)
	case o.InForce != nil && *o.InForce:
		fmt.Println("in force at every node in reach")
	case o.InForce != nil:
		fmt.Println("not yet in force, as far as seats know, at:", joinNames(o.Missing))
	}
}

func (o *changeOutcome) printRefusal() {
	fmt.Println("refused:", o.Refused)
	for _, item := range o.Differ {
		fmt.Println("  changed since:", item)
	}
	if o.More > 0 {
		fmt.Printf("  and %d more\n", o.More)
	} else if o.More < 0 {
		fmt.Println("  what changed is not known any more: the log no longer reaches so far")
	}
}

// joinNames lists names, up to a bound.
func joinNames(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}
