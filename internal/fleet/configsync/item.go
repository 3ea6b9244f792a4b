package configsync

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Item is one setting: a part, a name, and the value as canonical JSON. In a change, an item without a value is removed.
type Item struct {
	Part  string `cbor:"1,keyasint"`
	Name  string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// block returns the number of the block to which a valid item belongs.
func (i *Item) block() int { return blockOf(byte(slices.Index(partNames[:], i.Part)), i.Name) }

// validate returns an error if the part is unknown, or if the name or the value has an invalid length.
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

// Canonical returns the canonical form of a JSON value, which all values of items must have: keys sorted, no insignificant white space,
// number literals unchanged. Equal values in this form have equal digests.
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
