package configsync

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Item is one setting: a part, a name, and the canonical JSON of its value, nil where it is removed.
type Item struct {
	Part  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// block is the block of a valid item.
func (i *Item) block() int { return blockOf(byte(slices.Index(partNames[:], i.Part)), i.Name) }

// validate returns an error for an item that a content can't hold.
func (i *Item) validate() error {
	switch {
	case !slices.Contains(partNames[:], i.Part):
		return fmt.Errorf("configuration: part %q is none of %s", i.Part, strings.Join(partNames[:], ", "))
	case i.Name == "" || len(i.Name) > maxNameBytes:
		return fmt.Errorf("configuration: a name in %s of %d bytes; it must have 1 to %d", i.Part, len(i.Name), maxNameBytes)
	case len(i.Value) > maxValueBytes:
		return fmt.Errorf("configuration: %s %q has %d bytes; %d at the most", i.Part, i.Name, len(i.Value), maxValueBytes)
	}
	return nil
}

var errSeveralValues = errors.New("more than one value")

// Canonical encodes a JSON value in the form that digests require: keys sorted, no white space, numbers as they were spelt.
func Canonical(value []byte) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	if decoder.More() {
		return nil, errSeveralValues
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(tree); err != nil {
		return nil, err
	}
	return bytes.TrimSpace(buffer.Bytes()), nil
}
