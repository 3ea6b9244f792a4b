package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"topazpost/internal/fleet/envelope"
	"topazpost/internal/fleet/membership"
	"topazpost/server"
)

// membersCommands are the commands about views of the fleet.
type membersCommands struct {
	Show    membersShow    `cmd:"" default:"withargs" help:"Print the view of one node as a table."`
	Compare membersCompare `cmd:"" help:"Say where the views of nodes differ; fails where they do."`
}

type membersShow struct {
	Address string        `arg:"" help:"Where the node hears its peers."`
	Fleet   string        `help:"Name of the fleet." required:"" env:"TOPAZPOST_FLEET_NAME"`
	JSON    bool          `help:"Print the view as one object."`
	Watch   bool          `help:"Print it again and again, until the command is ended."`
	Every   time.Duration `help:"Time between two with --watch." default:"2s"`
}

type membersCompare struct {
	Addresses []string `arg:"" help:"Where the nodes hear their peers."`
	Fleet     string   `help:"Name of the fleet." required:"" env:"TOPAZPOST_FLEET_NAME"`
}

var errViewsDiffer = errors.New("views differ")

// queryView returns the view of a node.
func queryView(fleet, address string) (v membership.View, err error) {
	err = queryInto(fleet, address, "", &v)
	return v, err
}

// queryInto decodes what a node shows of itself into a value.
func queryInto(fleet, address, what string, into any) error {
	name := envelope.FleetOf(fleet)
	ask, err := envelope.Seal(nil, name, membership.Message{Kind: membership.MessageViewRequest, Why: what})
	if err != nil {
		return err
	}
	answer, err := server.Swap(context.Background(), "", address, ask)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("closed without an answer; is it a node of the fleet %q?", fleet)
	}
	if err == nil {
		err = envelope.Open(answer, name, into)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// Run prints the view, once or repeatedly.
func (c *membersShow) Run() error {
	for {
		v, err := queryView(c.Fleet, c.Address)
		if err != nil {
			return err
		}
		if err := printView(&v, c.JSON); err != nil || !c.Watch {
			return err
		}
		time.Sleep(c.Every)
	}
}

func printView(v *membership.View, asJSON bool) error {
	if asJSON {
		type seen struct {
			membership.MemberStatus
			Status string `json:"status"`
			Reach  string `json:"reach"`
		}
		out := struct {
			Number   uint64 `json:"number"`
			View     string `json:"view"`
			Alone    bool   `json:"alone"`
			Majority bool   `json:"majority"`
			Members  []seen `json:"members"`
		}{Number: v.Number, View: fmt.Sprintf("%016x", v.Hash), Alone: v.Alone, Majority: v.Majority}
		for _, m := range v.Members {
			out.Members = append(out.Members, seen{m, membership.StatusNames[m.Status], membership.ReachNames[m.Reach]})
		}
		return json.NewEncoder(os.Stdout).Encode(out)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "view %d, %016x", v.Number, v.Hash)
	if v.Alone {
		fmt.Fprint(w, ", cut off: it hears nobody and keeps what it last saw")
	} else if !v.Majority {
		fmt.Fprint(w, ", no majority of those it knows")
	}
	fmt.Fprintln(w, "\nname\taddress\tstatus\tsince s\treach\tlinks\tzone\tversion\tlevel\tbeat\tincarnation")
	for _, m := range v.Members {
		status := membership.StatusNames[m.Status]
		if m.Facts.NoUse {
			status += ", of no use"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n", m.Name, m.Address, status, float64(m.Since)/1e9,
			membership.ReachNames[m.Reach], m.Links, m.Facts.Zone, m.Facts.Version, m.Facts.Level, m.Facts.Beat, m.Incarnation)
	}
	return w.Flush()
}

// Run compares the views of all addresses, and prints each member on whose status they differ.
func (c *membersCompare) Run() error {
	type key struct{ name, status string }
	by, names := map[key][]string{}, map[string]bool{}
	for _, address := range c.Addresses {
		v, err := queryView(c.Fleet, address)
		if err != nil {
			return err
		}
		fmt.Printf("%s: view %d, %016x\n", address, v.Number, v.Hash)
		for _, m := range v.Members {
			if m.Status == membership.Dead || m.Status == membership.Left { // not in the view; later ones never heard of it
				continue
			}
			names[m.Name] = true
			k := key{m.Name, membership.StatusNames[m.Status]}
			by[k] = append(by[k], address)
		}
	}
	differ := false
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	for _, name := range list {
		for _, status := range membership.StatusNames {
			if seen := by[key{name, status}]; len(seen) > 0 && len(seen) < len(c.Addresses) {
				fmt.Printf("%s is %s to %d of %d: %v\n", name, status, len(seen), len(c.Addresses), seen)
				differ = true
			}
		}
	}
	if differ {
		return errViewsDiffer
	}
	fmt.Println("views are equal")
	return nil
}
