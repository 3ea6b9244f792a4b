package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/fleet/envelope"
	"topazpost/internal/node"
)

const (
	proposeBackoff  = 150 * time.Millisecond
	maxReadAttempts = 5 // of a content that changes while it is read
)

// configTarget is the fleet that a command is about, and queries its nodes.
type configTarget struct {
	Addresses []string `help:"Where nodes or seats hear peers; more are tried in turn." name:"at" required:"" env:"TOPAZPOST_PEERS" placeholder:"ADDRESS"`
	Fleet     string   `help:"Name of the fleet." required:"" env:"TOPAZPOST_FLEET_NAME"`
	JSON      bool     `help:"Print one object."`
}

// replicaAnswer is the answer of a replica of the consensus group.
type replicaAnswer struct {
	*configsync.Answer
	address string
}

// query queries one node.
func (c *configTarget) query(address string, q *configsync.Query) (*configsync.Answer, error) {
	answer, err := c.exchange(address, q)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return answer, nil
}

func (c *configTarget) exchange(address string, q *configsync.Query) (*configsync.Answer, error) {
	answer, err := exchange(c.Fleet, address, node.ConfigQueryBody(q), ", with configuration in its fleet file")
	if err != nil {
		return nil, err
	}
	return node.DecodeConfigAnswer(answer, envelope.FleetIDOf(c.Fleet))
}

// queryAny queries the addresses in turn until one answers.
func (c *configTarget) queryAny(q *configsync.Query) (*configsync.Answer, error) {
	var errs []error
	for _, address := range c.Addresses {
		answer, err := c.query(address, q)
		if err == nil {
			return answer, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

// replicaAddresses returns the replicas' addresses that any node knows, or the given addresses where no node answers.
func (c *configTarget) replicaAddresses() []string {
	answer, err := c.queryAny(&configsync.Query{Kind: configsync.QueryStatus})
	if err != nil {
		return c.Addresses
	}
	var addresses []string
	for _, replica := range answer.Replicas {
		if replica.Address != "" {
			addresses = append(addresses, replica.Address)
		}
	}
	if len(addresses) == 0 {
		return c.Addresses
	}
	return addresses
}

// queryReplicas returns the answers of all replicas in reach, at least one, that with the newest version first.
func (c *configTarget) queryReplicas() ([]replicaAnswer, error) {
	var answers []replicaAnswer
	var errs []error
	for _, address := range c.replicaAddresses() {
		answer, err := c.query(address, &configsync.Query{Kind: configsync.QueryStatus})
		if err != nil {
			errs = append(errs, err)
		} else if answer.ReplicaStatus != nil {
			answers = append(answers, replicaAnswer{answer, address})
		}
	}
	if len(answers) == 0 {
		return nil, errors.Join(errors.New("no seat of the council answers that knows what is agreed on"), errors.Join(errs...))
	}
	slices.SortStableFunc(answers, func(x, y replicaAnswer) int {
		return cmp.Compare(y.ReplicaStatus.Newest.Version, x.ReplicaStatus.Newest.Version)
	})
	return answers, nil
}

// latestStatuses returns the status that each node reported last, to whichever replica.
func latestStatuses(answers []replicaAnswer) map[string]configsync.NodeStatus {
	statuses := make(map[string]configsync.NodeStatus)
	for _, a := range answers {
		for _, s := range a.ReplicaStatus.Nodes {
			if known, ok := statuses[s.Name]; !ok || s.At < known.At {
				statuses[s.Name] = s
			}
		}
	}
	for _, a := range answers { // a replica's own status is newer than any report
		if s := a.Status; s != nil {
			statuses[a.Node] = configsync.NodeStatus{Name: a.Node, Revision: s.Revision, Refused: s.Refused, Why: s.Why, Age: s.TakenNS}
		}
	}
	return statuses
}

// newestContent returns the content that was agreed on last.
func (c *configTarget) newestContent() (configsync.Revision, *configsync.Content, error) {
	answers, err := c.queryReplicas()
	if err != nil {
		return configsync.Revision{}, nil, err
	}
	return c.readContent(answers[0].address, configsync.ContentNewest)
}

// readContent reads a content of a node, and starts over where it changes meanwhile.
func (c *configTarget) readContent(address string, which int) (configsync.Revision, *configsync.Content, error) {
	for range maxReadAttempts {
		revision, blocks, changed, err := c.readBlocks(address, which)
		if err != nil {
			return revision, nil, err
		}
		if changed {
			continue
		}
		content := configsync.FromBlocks(blocks, revision.Digest)
		if content == nil {
			return revision, nil, fmt.Errorf("%s: what it told doesn't come to its digest", address)
		}
		return revision, content, nil
	}
	return configsync.Revision{}, nil, fmt.Errorf("%s: versions change faster than they can be read", address)
}

// readBlocks reads all blocks of a content; changed is set where the revision changed before the last one.
func (c *configTarget) readBlocks(address string, which int) (revision configsync.Revision, blocks []configsync.Block, changed bool, err error) {
	for from := 0; ; {
		answer, err := c.query(address, &configsync.Query{Kind: configsync.QueryBlocks, Which: which, From: from})
		if err != nil {
			return revision, nil, false, err
		}
		if answer.Why != "" {
			return revision, nil, false, fmt.Errorf("%s: %s", address, answer.Why)
		}
		if from > 0 && answer.Revision != revision {
			return revision, nil, true, nil
		}
		revision = answer.Revision
		blocks = append(blocks, answer.Blocks...)
		from = answer.Next
		if from == 0 {
			return revision, blocks, false, nil
		}
	}
}

// propose proposes a command to one replica after the other until one returns a verdict.
func (c *configTarget) propose(replicas []replicaAnswer, command *configsync.Command, deadline time.Time) (*configsync.Verdict, error) {
	err := errors.New("no time was given")
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		address := replicas[attempt%len(replicas)].address
		var answer *configsync.Answer
		answer, err = c.query(address, &configsync.Query{Kind: configsync.QueryPropose, Command: command})
		if err == nil && answer.Verdict != nil {
			return answer.Verdict, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: %s", address, answer.Why)
		}
		time.Sleep(proposeBackoff)
	}
	return nil, fmt.Errorf("no verdict in time, so it isn't known whether it is agreed on; repeat the command with --request %s: %w", command.Caller, err)
}
