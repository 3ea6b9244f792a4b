package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"topazpost/internal/configfile"
	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
	"topazpost/server"
)

const maxDiffItems = 1_024 // in one step of a difference

// changeFile is the content of a file that put and diff read.
type changeFile struct {
	items   []configsync.Item
	isWhole bool // a node's whole file: items that it doesn't have are removed
}

// readChangeFile reads a node's whole file, or one with changes.
func readChangeFile(path string) (*changeFile, error) {
	text, err := readJSON(path)
	if err != nil {
		return nil, err
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	read := func() ([]configsync.Item, error) { return changedItems(parts) }
	_, isWhole := parts["settings"]
	if isWhole {
		read = func() ([]configsync.Item, error) { return nodeItems(text) }
	}
	items, err := read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &changeFile{items, isWhole}, nil
}

// readJSON returns the JSON text of a file, which may be a Jsonnet template.
func readJSON(path string) ([]byte, error) {
	if !strings.HasSuffix(path, "sonnet") {
		return os.ReadFile(path)
	}
	file, err := configfile.Read(path)
	if err != nil {
		return nil, err
	}
	var object any
	if err := file.Into(&object); err != nil {
		return nil, err
	}
	return json.Marshal(object)
}

// nodeItems returns all items of a node's whole file.
func nodeItems(text []byte) (items []configsync.Item, err error) {
	config, err := server.DecodeConfig(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	config.Settings.Items(func(item nodeconfig.Item) { items = append(items, configsync.Item(item)) })
	return items, nil
}

// changedItems returns the items of a file with changes, which are valid by themselves.
func changedItems(parts map[string]json.RawMessage) (items []configsync.Item, err error) {
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		items, err = appendPart(items, part, parts[part])
		if err != nil {
			return nil, err
		}
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("names no item; write operations, tenants and limits, or a node's whole file with its settings")
	}
	list := make([]nodeconfig.Item, len(items))
	for i := range items {
		list[i] = nodeconfig.Item(items[i])
	}
	_, err = nodeconfig.Parse(list)
	return items, err
}

// appendPart appends the items of one part; null removes an item.
func appendPart(list []configsync.Item, part string, text json.RawMessage) ([]configsync.Item, error) {
	if part != configsync.Operations && part != configsync.Tenants && part != configsync.Limits {
		return nil, fmt.Errorf("%s: no such part; write operations, tenants and limits, or a node's whole file with its settings", part)
	}
	var items map[string]json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return nil, fmt.Errorf("%s: it is an object of items by name: %w", part, err)
	}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		item := configsync.Item{Part: part, Name: name}
		if string(items[name]) != "null" {
			value, err := configsync.Canonical(items[name])
			if err != nil {
				return nil, fmt.Errorf("%s.%s: %w", part, name, err)
			}
			item.Value = value
		}
		list = append(list, item)
	}
	return list, nil
}

// changesTo returns the changes that turn a content into what the file describes.
func (f *changeFile) changesTo(content *configsync.Content) (changes []configsync.Item, err error) {
	base := content
	if f.isWhole {
		base = new(configsync.Content)
	}
	next, err := base.Apply(f.items)
	if err != nil {
		return nil, err
	}
	diff := configsync.Diff(content, next)
	for {
		items := diff.Next(maxDiffItems)
		if len(items) == 0 {
			return changes, nil
		}
		changes = append(changes, items...)
	}
}
