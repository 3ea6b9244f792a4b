package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	ladders "topazpost/internal/testbed/capacity"
)

type capacityCommand struct {
	Only    []string          `help:"Quantities to climb; all without it." placeholder:"QUANTITY"`
	Short   bool              `help:"Short ladders, written nowhere: they show shapes."`
	JSON    bool              `help:"Print each file as one line, too."`
	Page    bool              `help:"Make the tables of the page from the files that stand, without a play."`
	Program map[string]string `help:"Daemons to measure, by name; the one beside this command counts as today's, and the files of others are named after them: before=/tmp/topazpost." placeholder:"NAME=PATH"`
	Most    float64           `help:"Largest size to try, where the machine is small or busy; the page says what was left out."`
	Seed    int64             `help:"Seed of what is drawn." default:"1"`
	Docs    string            `help:"Folder of CAPACITY.md and of capacity/." default:"docs" type:"path"`
}

// Run climbs, writes a file for each quantity, and makes the page's tables anew.
func (c *capacityCommand) Run() error {
	quantities, err := c.quantities()
	if err != nil {
		return err
	}
	if c.Page {
		return ladders.WritePage(c.Docs)
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	names, programs := c.programs(own)
	var incomplete error // ladders that ended before their last size
	for _, q := range quantities {
		for _, name := range names {
			if name != "" && !q.Configured {
				continue
			}
			if name != "" {
				fmt.Printf("%s, ", name)
			}
			bench := &ladders.Bench{Program: programs[name], Lab: own, Seed: c.Seed, Brief: c.Short, Most: c.Most, Log: os.Stdout}
			doc, err := bench.Climb(q)
			if err != nil {
				return err
			}
			if doc.Ended != "" && c.Most == 0 {
				incomplete = errors.Join(incomplete, fmt.Errorf("%s ended at %s", q.Name, doc.Ended))
			}
			if err := c.write(doc, name); err != nil {
				return err
			}
		}
	}
	if c.Short {
		return nil
	}
	return errors.Join(incomplete, ladders.WritePage(c.Docs))
}

// quantities returns those to climb.
func (c *capacityCommand) quantities() (list []*ladders.Quantity, err error) {
	all := ladders.Quantities()
	for _, name := range c.Only {
		if !slices.ContainsFunc(all, func(q *ladders.Quantity) bool { return q.Name == name }) {
			return nil, fmt.Errorf("no quantity is named %q", name)
		}
	}
	for _, q := range all {
		if len(c.Only) > 0 && !slices.Contains(c.Only, q.Name) || c.Short && q.Short == nil {
			continue
		}
		list = append(list, q)
	}
	return list, nil
}

// programs returns the daemons to measure by name, and the names in order; the one beside this command has none.
func (c *capacityCommand) programs(own string) (names []string, programs map[string]string) {
	programs = map[string]string{"": filepath.Join(filepath.Dir(own), "topazpost")}
	names = []string{""}
	for name, path := range c.Program {
		programs[name] = path
		names = append(names, name)
	}
	slices.Sort(names)
	return names, programs
}

// write prints a ladder as asked for and writes its file, unless it is a short one.
func (c *capacityCommand) write(doc *ladders.Document, name string) error {
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(doc); err != nil {
			return err
		}
	}
	if c.Short {
		return nil
	}
	return doc.Write(c.Docs, name)
}
