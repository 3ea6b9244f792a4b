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

const maxNesting = 64 // objects and lists within one another: guards against a file that only nests

// FromJSON decodes the same settings as one nested object.
func FromJSON(seed int64, object []byte) (*Config, error) {
	d := json.NewDecoder(bytes.NewReader(object))
	d.UseNumber()
	p, _, err := Decode(seed, d)
	return p, err
}

// Decode decodes settings as one nested object that comes next from a decoder of numbers as they are written. It keeps
// one item of a list of operations or tenants at a time. The digest is that of what was read, however it was spaced and
// in whatever order keys came.
func Decode(seed int64, d *json.Decoder) (p *Config, digest uint64, err error) {
	return (&streamDecoder{tokens: d}).decode(seed)
}

// DecodeWithoutTenants decodes as Decode does, with the same errors and the same digest, and keeps no list of tenants: for one who only
// wants to know whether a file is usable and whether it differs, beside a config that is held already.
func DecodeWithoutTenants(seed int64, d *json.Decoder) (p *Config, digest uint64, err error) {
	return (&streamDecoder{tokens: d, skipTenants: true}).decode(seed)
}

func (w *streamDecoder) decode(seed int64) (p *Config, digest uint64, err error) {
	w.config, w.hash = &Config{Operations: new(Names), Tenants: new(Names)}, xxhash.New()
	w.itemValues, w.otherSettings = make(map[string]string), make(map[string]any)
	if err := w.decodeObject(); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, fmt.Errorf("nodeconfig: byte %d: %w", w.tokens.InputOffset(), err)
	}
	return w.finish(seed)
}

// streamDecoder is the state of a decoding.
type streamDecoder struct {
	tokens              *json.Decoder
	skipTenants         bool // tenants are read and not kept
	config              *Config
	hash                *xxhash.Digest
	otherSettings       map[string]any    // of the object, but for lists of operations and tenants
	itemValues          map[string]string // of the item in hand
	sortedPaths         []string          // room for its paths in order
	operations, tenants listState
}

// listState is what was read of operations or tenants.
type listState struct {
	seen   bool   // as a list, by which it is counted
	digest uint64 // of its items
	err    error  // the first in an item
}

func (w *streamDecoder) decodeObject() error {
	tok, err := w.tokens.Token()
	if err != nil || tok == nil {
		return err
	}
	if tok != json.Delim('{') {
		return fmt.Errorf("settings are an object, not %v", tok)
	}
	for w.tokens.More() {
		tok, err := w.tokens.Token()
		if err != nil {
			return err
		}
		key := tok.(string)
		if tok, err = w.tokens.Token(); err != nil {
			return err
		}
		switch key { // of two of one key the last holds
		case "grades":
			w.operations, w.config.Operations, w.config.Node.Operations = listState{}, new(Names), nil
		case "tenants":
			w.tenants, w.config.Tenants, w.config.Node.TenantRates = listState{}, new(Names), nil
		}
		delete(w.otherSettings, key)
		switch {
		case key == "grades" && tok == json.Delim('['):
			err = w.decodeList(key, &w.operations, w.config.addOperation)
		case key == "tenants" && tok == json.Delim('['):
			add := w.config.addTenant
			if w.skipTenants {
				add = func(s *settingsReader) { s.float("quota_rps") }
			}
			err = w.decodeList(key, &w.tenants, add)
		default:
			w.otherSettings[key], err = w.decodeTree(tok, maxNesting)
		}
		if err != nil {
			return err
		}
	}
	_, err = w.tokens.Token()
	return err
}

// decodeList adds the items of a decodeList; plain values before an object count as items without settings, those after the last
// object don't count.
func (w *streamDecoder) decodeList(key string, l *listState, add func(*settingsReader)) error {
	l.seen = true
	plain, i := 0, 0
	item := &settingsReader{values: w.itemValues}
	next := func() {
		item.errorPrefix = key + "." + strconv.Itoa(i) + "."
		add(item)
		l.digest = l.digest*31 + w.digestOf(w.itemValues)
		clear(w.itemValues)
		i++
	}
	for w.tokens.More() {
		var tree any
		if err := w.tokens.Decode(&tree); err != nil {
			return err
		}
		if _, object := tree.(map[string]any); !object {
			plain++
			continue
		}
		for ; plain > 0; plain-- {
			next()
		}
		flatten(w.itemValues, "", tree)
		next()
	}
	l.err = item.err
	_, err := w.tokens.Token()
	return err
}

// decodeTree reads the value that a token begins.
func (w *streamDecoder) decodeTree(tok json.Token, deep int) (any, error) {
	if deep == 0 {
		return nil, fmt.Errorf("more than %d objects and lists within one another", maxNesting)
	}
	switch tok {
	case json.Delim('{'):
		object := make(map[string]any)
		for w.tokens.More() {
			key, err := w.tokens.Token()
			if err != nil {
				return nil, err
			}
			if tok, err = w.tokens.Token(); err != nil {
				return nil, err
			}
			if object[key.(string)], err = w.decodeTree(tok, deep-1); err != nil {
				return nil, err
			}
		}
		_, err := w.tokens.Token()
		return object, err
	case json.Delim('['):
		var list []any
		for w.tokens.More() {
			tok, err := w.tokens.Token()
			if err != nil {
				return nil, err
			}
			sub, err := w.decodeTree(tok, deep-1)
			if err != nil {
				return nil, err
			}
			list = append(list, sub)
		}
		_, err := w.tokens.Token()
		return append([]any{}, list...), err
	}
	return tok, nil
}

// finish decodes the rest, once all was read.
func (w *streamDecoder) finish(seed int64) (*Config, uint64, error) {
	values := make(map[string]string)
	flatten(values, "", w.otherSettings)
	p, s := w.config, &settingsReader{values: values}
	p.readNode(s, seed)
	errs := []error{s.err}
	if !w.operations.seen { // they may be told by their paths, as pairs are
		for i := range s.count("grades") {
			p.addOperation(s.withPrefix("grades." + strconv.Itoa(i) + "."))
			s.withPrefix("")
		}
	}
	p.readDependencyCalls(s)
	if !w.tenants.seen {
		for i := range s.count("tenants") {
			p.addTenant(s.withPrefix("tenants." + strconv.Itoa(i) + "."))
			s.withPrefix("")
		}
	}
	for _, err := range append(errs, w.operations.err, w.tenants.err, s.err) {
		if err != nil {
			return nil, 0, err
		}
	}
	return p, (w.digestOf(values)*31+w.operations.digest)*31 + w.tenants.digest, nil
}

// digestOf is the digest of settings by path.
func (w *streamDecoder) digestOf(values map[string]string) uint64 {
	w.hash.Reset()
	w.sortedPaths = slices.AppendSeq(w.sortedPaths[:0], maps.Keys(values))
	slices.Sort(w.sortedPaths)
	for _, path := range w.sortedPaths {
		w.hash.WriteString(path)
		w.hash.WriteString("=")
		w.hash.WriteString(values[path])
		w.hash.WriteString("\n")
	}
	return w.hash.Sum64()
}
