package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"topazpost/internal/fleet/configsync"
)

type configShow struct {
	Part   string `help:"Only operations, tenants or limits." enum:",operations,tenants,limits" default:""`
	Name   string `help:"Only this item."`
	Newest bool   `help:"What was agreed on last, in force or not; asks a seat."`
	configTarget
}

// shownContent is a content as it is printed: values by part and name.
type shownContent map[string]map[string]json.RawMessage

// Run prints a content.
func (c *configShow) Run() error {
	read := c.contentInForce
	if c.Newest {
		read = c.newestContent
	}
	revision, content, err := read()
	if err != nil {
		return err
	}
	parts := c.selected(content)
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Version uint64       `json:"version"`
			Digest  string       `json:"digest"`
			Parts   shownContent `json:"parts"`
		}{revision.Version, revision.Digest.String(), parts})
	}
	fmt.Printf("version %d, %s: %d operations, %d tenants, %d limits\n", revision.Version, revision.Digest,
		content.Len(configsync.Operations), content.Len(configsync.Tenants), content.Len(configsync.Limits))
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		for _, name := range slices.Sorted(maps.Keys(parts[part])) {
			fmt.Printf("%s.%s = %s\n", part, name, parts[part][name])
		}
	}
	return nil
}

// contentInForce returns the content in force at the first address that answers.
func (c *configShow) contentInForce() (configsync.Revision, *configsync.Content, error) {
	err := errors.New("no address was given")
	for _, address := range c.Addresses {
		var revision configsync.Revision
		var content *configsync.Content
		revision, content, err = c.readContent(address, configsync.ContentInForce)
		if err == nil {
			return revision, content, nil
		}
	}
	return configsync.Revision{}, nil, err
}

// selected returns the items that the flags select.
func (c *configShow) selected(content *configsync.Content) shownContent {
	parts := make(shownContent)
	for i := range content.All {
		if c.Part != "" && i.Part != c.Part || c.Name != "" && i.Name != c.Name {
			continue
		}
		if parts[i.Part] == nil {
			parts[i.Part] = make(map[string]json.RawMessage)
		}
		parts[i.Part][i.Name] = json.RawMessage(i.Value)
	}
	return parts
}
