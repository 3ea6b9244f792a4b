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
	quantities := ladders.Quantities()
	for _, name := range c.Only {
		if !slices.ContainsFunc(quantities, func(q *ladders.Quantity) bool { return q.Name == name }) {
			return fmt.Errorf("no quantity is named %q", name)
		}
	}
	if c.Page {
		return ladders.WritePage(c.Docs)
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	programs := map[string]string{"": filepath.Join(filepath.Dir(own), "topazpost")}
	names := []string{""}
	for name, path := range c.Program {
		programs[name] = path
		names = append(names, name)
	}
	slices.Sort(names)
	var ended error
	for _, q := range quantities {
		if len(c.Only) > 0 && !slices.Contains(c.Only, q.Name) || c.Short && q.Short == nil {
			continue
		}
		for _, name := range names {
			if name != "" && !q.Configured {
				continue
			}
			if name != "" {
				fmt.Printf("%s, ", name)
			}
			b := &ladders.Bench{Program: programs[name], Lab: own, Seed: c.Seed, Brief: c.Short, Most: c.Most, Log: os.Stdout}
			doc, err := b.Climb(q)
			if err != nil {
				return err
			}
			if doc.Ended != "" && c.Most == 0 {
				ended = errors.Join(ended, fmt.Errorf("%s ended at %s", q.Name, doc.Ended))
			}
			if c.JSON {
				if err := json.NewEncoder(os.Stdout).Encode(doc); err != nil {
					return err
				}
			}
			if c.Short {
				continue
			}
			if err := doc.Write(c.Docs, name); err != nil {
				return err
			}
		}
	}
	if c.Short {
		return nil
	}
	return errors.Join(ended, ladders.WritePage(c.Docs))
}
