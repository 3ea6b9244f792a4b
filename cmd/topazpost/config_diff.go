package main

import (
	"encoding/json"
	"fmt"
	"os"
)

type configDiff struct {
	File string `arg:"" help:"As that of put." type:"path"`
	configTarget
}

// itemDiff is an item before and after a change.
type itemDiff struct {
	Item   string          `json:"item"`
	Before json.RawMessage `json:"was"`
	After  json.RawMessage `json:"is"`
}

// Run prints what a put of the file would change.
func (c *configDiff) Run() error {
	file, err := readChangeFile(c.File)
	if err != nil {
		return err
	}
	newest, content, err := c.newestContent()
	if err != nil {
		return err
	}
	changes, err := file.changesTo(content)
	if err != nil {
		return err
	}
	diffs := []itemDiff{}
	for _, i := range changes {
		diffs = append(diffs, itemDiff{Item: i.Part + "." + i.Name, Before: content.Get(i.Part, i.Name), After: i.Value})
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Base    uint64     `json:"base"`
			Changes []itemDiff `json:"changes"`
		}{newest.Version, diffs})
	}
	fmt.Printf("%d items differ from version %d\n", len(diffs), newest.Version)
	for _, d := range diffs {
		if d.Before != nil {
			fmt.Printf("- %s = %s\n", d.Item, d.Before)
		}
		if d.After != nil {
			fmt.Printf("+ %s = %s\n", d.Item, d.After)
		}
	}
	return nil
}
