package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"topazpost/internal/fleet/membership"
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
		return printViewJSON(v)
	}
	title := fmt.Sprintf("view %d, %016x", v.Number, v.Hash)
	if v.Isolated {
		title += ", cut off: it hears nobody and keeps what it last saw"
	} else if !v.Majority {
		title += ", no majority of those it knows"
	}
	w := newTable(title + "\nname\taddress\tstatus\tsince s\treach\tlinks\tzone\tversion\tlevel\tbeat\tincarnation")
	for _, m := range v.Members {
		status := membership.StatusNames[m.Status]
		if m.Facts.NoExecutor {
			status += ", of no use"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%s\t%d\t%s\t%s\t%d\t%d\t%d\n", m.Name, m.Address, status, seconds(m.StatusAge),
			membership.ReachNames[m.Reach], m.Links, m.Facts.Zone, m.Facts.Version, m.Facts.Level, m.Facts.DrainPhase, m.Incarnation)
	}
	return w.Flush()
}

func printViewJSON(v *membership.View) error {
	type member struct {
		membership.MemberStatus
		Status string `json:"status"`
		Reach  string `json:"reach"`
	}
	out := struct {
		Number   uint64   `json:"number"`
		View     string   `json:"view"`
		Alone    bool     `json:"alone"`
		Majority bool     `json:"majority"`
		Members  []member `json:"members"`
	}{Number: v.Number, View: fmt.Sprintf("%016x", v.Hash), Alone: v.Isolated, Majority: v.Majority}
	for _, m := range v.Members {
		out.Members = append(out.Members, member{m, membership.StatusNames[m.Status], membership.ReachNames[m.Reach]})
	}
	return json.NewEncoder(os.Stdout).Encode(out)
}

// Run compares the views of all addresses, and prints each member on whose status they differ.
func (c *membersCompare) Run() error {
	addresses, err := c.addressesByStatus()
	if err != nil {
		return err
	}
	names := make(map[string]struct{})
	for member := range addresses {
		names[member.name] = struct{}{}
	}
	differ := false
	for _, name := range slices.Sorted(maps.Keys(names)) {
		for _, status := range membership.StatusNames {
			seen := addresses[memberStatus{name, status}]
			if len(seen) > 0 && len(seen) < len(c.Addresses) {
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

// memberStatus is a member's status in a view.
type memberStatus struct{ name, status string }

// addressesByStatus prints the views' hashes and returns which addresses have which status of a member.
func (c *membersCompare) addressesByStatus() (map[memberStatus][]string, error) {
	addresses := make(map[memberStatus][]string)
	for _, address := range c.Addresses {
		v, err := queryView(c.Fleet, address)
		if err != nil {
			return nil, err
		}
		fmt.Printf("%s: view %d, %016x\n", address, v.Number, v.Hash)
		for _, m := range v.Members {
			if m.Status == membership.Dead || m.Status == membership.Left { // not in the view, and unknown to later members
				continue
			}
			member := memberStatus{m.Name, membership.StatusNames[m.Status]}
			addresses[member] = append(addresses[member], address)
		}
	}
	return addresses, nil
}
