package nodeconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	maxNesting       = 64 // of objects and lists
	digestMultiplier = 31
)

// FromJSON decodes settings from one nested object.
func FromJSON(seed int64, object []byte) (*Config, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	config, _, err := Decode(seed, d)
	return config, err
}

// Decode decodes settings from the nested object that is next in a decoder, which must use json.Number. It holds one
// operation or tenant at a time. The digest covers all settings and depends neither on white space nor on the order of
// keys.
func Decode(seed int64, d *json.Decoder) (config *Config, digest uint64, err error) {
	w := newStreamDecoder(d)
	return w.decode(seed)
}

// DecodeWithoutTenants decodes as Decode does, with the same errors and the same digest, but stores no tenants. It serves
// to check a file and to compare it with the current config in little memory.
func DecodeWithoutTenants(seed int64, d *json.Decoder) (config *Config, digest uint64, err error) {
	w := newStreamDecoder(d)
	w.skipTenants = true
	return w.decode(seed)
}

// streamDecoder is the state of a decoding.
type streamDecoder struct {
	tokens        *json.Decoder
	skipTenants   bool
	config        *Config
	hash          *xxhash.Digest
	otherSettings map[string]any    // all but lists of operations and tenants
	itemValues    map[string]string // of the current item
	sortedPaths   []string          // scratch memory
	operations    listState
	tenants       listState
}

// listState is the state of a list of operations or tenants.
type listState struct {
	isList bool   // and not an object of numbered items
	digest uint64 // of the items
	err    error  // the first in an item
}

func newStreamDecoder(d *json.Decoder) *streamDecoder {
	return &streamDecoder{
		tokens:        d,
		config:        &Config{Operations: new(Names), Tenants: new(Names)},
		hash:          xxhash.New(),
		otherSettings: make(map[string]any),
		itemValues:    make(map[string]string),
	}
}

func (w *streamDecoder) decode(seed int64) (config *Config, digest uint64, err error) {
	if err := w.decodeSettings(); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, fmt.Errorf("nodeconfig: byte %d: %w", w.tokens.InputOffset(), err)
	}
	return w.finish(seed)
}

// decodeSettings reads the object; null has no settings.
func (w *streamDecoder) decodeSettings() error {
	token, err := w.tokens.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('{') {
		return fmt.Errorf("settings are an object, not %v", token)
	}
	for w.tokens.More() {
		key, value, err := w.field()
		if err != nil {
			return err
		}
		if err := w.decodeSetting(key, value); err != nil {
			return err
		}
	}
	return w.closeDelimiter()
}

// field reads the key of an object's field and the first token of its value.
func (w *streamDecoder) field() (key string, value json.Token, err error) {
	token, err := w.tokens.Token()
	if err != nil {
		return "", nil, err
	}
	value, err = w.tokens.Token()
	return token.(string), value, err
}

// closeDelimiter reads the end of an object or list.
func (w *streamDecoder) closeDelimiter() error {
	_, err := w.tokens.Token()
	return err
}

// decodeSetting reads the value of a key; the last of several values of one key is used.
func (w *streamDecoder) decodeSetting(key string, first json.Token) (err error) {
	delete(w.otherSettings, key)
	isList := first == json.Delim('[')
	switch key {
	case operationsPath:
		w.operations = listState{}
		w.config.Operations = new(Names)
		w.config.Node.Operations = nil
		if isList {
			return w.decodeList(key, &w.operations, w.config.addOperation)
		}
	case tenantsPath:
		w.tenants = listState{}
		w.config.Tenants = new(Names)
		w.config.Node.TenantRates = nil
		if isList {
			return w.decodeList(key, &w.tenants, w.addTenant)
		}
	}
	w.otherSettings[key], err = w.decodeTree(first, maxNesting)
	return err
}

func (w *streamDecoder) addTenant(s *settingsReader) {
	if w.skipTenants {
		s.float(tenantRatePath) // for its error
		return
	}
	w.config.addTenant(s)
}

// decodeList adds the items of a list. As with paths, plain values before an object count as items without settings, and
// those behind the last object don't count.
func (w *streamDecoder) decodeList(key string, l *listState, add func(*settingsReader)) error {
	l.isList = true
	plain := 0
	items := 0
	item := &settingsReader{values: w.itemValues}
	addItem := func() {
		item.errorPrefix = key + "." + strconv.Itoa(items) + "."
		add(item)
		l.digest = l.digest*digestMultiplier + w.digestOf(w.itemValues)
		clear(w.itemValues)
		items++
	}
	for w.tokens.More() {
		var tree any
		if err := w.tokens.Decode(&tree); err != nil {
			return err
		}
		if _, isObject := tree.(map[string]any); !isObject {
			plain++
			continue
		}
		for ; plain > 0; plain-- {
			addItem()
		}
		flatten(w.itemValues, "", tree)
		addItem()
	}
	l.err = item.err
	return w.closeDelimiter()
}

// decodeTree reads the value that starts with a token, with at most depth levels of objects and lists.
func (w *streamDecoder) decodeTree(first json.Token, depth int) (any, error) {
	if depth == 0 {
		return nil, fmt.Errorf("more than %d objects and lists within one another", maxNesting)
	}
	switch first {
	case json.Delim('{'):
		return w.decodeObject(depth)
	case json.Delim('['):
		return w.decodeArray(depth)
	}
	return first, nil
}

func (w *streamDecoder) decodeObject(depth int) (any, error) {
	object := make(map[string]any)
	for w.tokens.More() {
		key, first, err := w.field()
		if err != nil {
			return nil, err
		}
		object[key], err = w.decodeTree(first, depth-1)
		if err != nil {
			return nil, err
		}
	}
	return object, w.closeDelimiter()
}

func (w *streamDecoder) decodeArray(depth int) (any, error) {
	list := []any{}
	for w.tokens.More() {
		first, err := w.tokens.Token()
		if err != nil {
			return nil, err
		}
		value, err := w.decodeTree(first, depth-1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	return list, w.closeDelimiter()
}

// finish decodes the other settings. Operations and tenants that were no list are read by their paths, as from pairs.
func (w *streamDecoder) finish(seed int64) (*Config, uint64, error) {
	values := make(map[string]string)
	flatten(values, "", w.otherSettings)
	s := &settingsReader{values: values}
	config := w.config
	config.readNode(s, seed)
	nodeErr := s.err
	if !w.operations.isList {
		s.eachItem(operationsPath, config.addOperation)
	}
	config.readDependencyCalls(s)
	if !w.tenants.isList {
		s.eachItem(tenantsPath, config.addTenant)
	}
	for _, err := range []error{nodeErr, w.operations.err, w.tenants.err, s.err} {
		if err != nil {
			return nil, 0, err
		}
	}
	digest := w.digestOf(values)
	digest = digest*digestMultiplier + w.operations.digest
	digest = digest*digestMultiplier + w.tenants.digest
	return config, digest, nil
}

// digestOf returns the digest of settings by path.
func (w *streamDecoder) digestOf(values map[string]string) uint64 {
	w.hash.Reset()
	w.sortedPaths = slices.AppendSeq(w.sortedPaths[:0], maps.Keys(values))
	slices.Sort(w.sortedPaths)
	for _, path := range w.sortedPaths {
		for _, text := range []string{path, "=", values[path], "\n"} {
			_, _ = w.hash.WriteString(text) // never fails
		}
	}
	return w.hash.Sum64()
}
