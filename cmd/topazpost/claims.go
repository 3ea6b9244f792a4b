package main

import (
	"encoding/json"
	"fmt"
	"os"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
	"topazpost/internal/fleet/membership"
)

// claimsCommands are the commands about claims of idempotency keys.
type claimsCommands struct {
	List claimsList `cmd:"" default:"withargs" help:"Print what a node knows of claims: counters, and the table where it has a seat in the council."`
	Show claimsShow `cmd:"" help:"Print the claim of one token."`
}

// claimsTarget is the node that a command is about.
type claimsTarget struct {
	Address string `arg:"" help:"Where the node hears its peers."`
	Fleet   string `help:"Name of the fleet." required:"" env:"TOPAZPOST_FLEET_NAME"`
}

type claimsList struct {
	claimsTarget
	JSON bool `help:"Print all as one object."`
}

type claimsShow struct {
	claimsTarget
	Token string `arg:"" help:"The token."`
}

// query returns what the node knows of claims and quotas.
func (c *claimsTarget) query() (*consensus.Summary, error) {
	var summary consensus.Summary
	if err := queryInto(c.Fleet, c.Address, membership.ViewRequestClaims, &summary); err != nil {
		return nil, fmt.Errorf("%w; a node without a council shows no claims", err)
	}
	return &summary, nil
}

// claimRow is a claim as it is printed.
type claimRow struct {
	Operation string `json:"operation"`
	Token     string `json:"token"`
	State     string `json:"state"`
	Owner     string `json:"owner"`
	Fence     uint64 `json:"fence"`
	LeftMS    int64  `json:"left_ms"` // until the deadline of a claim that is held, of its window otherwise
	Taken     bool   `json:"taken_over"`
	Call      string `json:"call"`
}

// claimRows returns the table of claims, with the time left.
func claimRows(summary *consensus.Summary) (rows []claimRow) {
	for _, entry := range summary.Claims {
		rows = append(rows, claimRow{entry.Key.Operation, entry.Key.Token, claims.StateNames[entry.State], entry.Owner.Name, entry.Fence, (entry.ExpiresAt - summary.Time) / 1e6, entry.Reassigned, entry.InvocationID})
	}
	return rows
}

func printClaims(rows []claimRow) error {
	w := newTable("operation\ttoken\tstate\towner\tfence\tleft s\ttaken over\tcall")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%t\t%s\n", row.Operation, row.Token, row.State, row.Owner, row.Fence, float64(row.LeftMS)/1e3, row.Taken, row.Call)
	}
	return w.Flush()
}

// Run prints what a node knows of claims.
func (c *claimsList) Run() error {
	summary, err := c.query()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			*consensus.Summary
			Claims []claimRow `json:"table_of_claims"`
		}{summary, claimRows(summary)})
	}
	if client := summary.Client; client != nil {
		fmt.Printf("%s: council in reach %t, %d claims in hand; claimed %d, joined elsewhere %d, kept %d, unknown %d, taken over %d, refused by fence %d\n",
			summary.Node, summary.GroupReachable, summary.ClaimsInFlight, client.Claimed, client.Joined, client.ServedFromElsewhere, client.Unknown, client.Assigned, client.Fenced)
	}
	if summary.Replica == nil {
		fmt.Println("it has no seat in the council, and no table")
		return nil
	}
	leader := summary.Leader
	if leader == "" {
		leader = "nobody it knows of"
	}
	fmt.Printf("seat in the council, led by %s: %d claims, %d kB; taken over %d, unknown %d, settled %d, refused by fence %d\n", leader, summary.ClaimCount,
		summary.Bytes>>10, summary.Table.Reassigned, summary.Table.Unknown, summary.Table.Resolved, summary.Table.Fenced)
	return printClaims(claimRows(summary))
}

// Run prints one claim.
func (c *claimsShow) Run() error {
	summary, err := c.query()
	if err != nil {
		return err
	}
	var found []claimRow
	for _, s := range claimRows(summary) {
		if s.Token == c.Token {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return fmt.Errorf("%s shows no claim of the token %q, of %d in its table; ask a node with a seat in the council", summary.Node, c.Token, summary.ClaimCount)
	}
	return printClaims(found)
}
