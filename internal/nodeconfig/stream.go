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

const nestMost = 64 // objects and lists within one another: guards against a file that only nests

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
	return (&stream{d: d}).decode(seed)
}

// DecodeLight decodes as Decode does, with the same errors and the same digest, and keeps no list of tenants: for one who only
// wants to know whether a file is usable and whether it differs, beside a config that is held already.
func DecodeLight(seed int64, d *json.Decoder) (p *Config, digest uint64, err error) {
	return (&stream{d: d, light: true}).decode(seed)
}

func (w *stream) decode(seed int64) (p *Config, digest uint64, err error) {
	w.config, w.hash = &Config{Operations: new(Names), Tenants: new(Names)}, xxhash.New()
	w.flat, w.rest = make(map[string]string), make(map[string]any)
	if err := w.object(); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, fmt.Errorf("nodeconfig: byte %d: %w", w.d.InputOffset(), err)
	}
	return w.end(seed)
}

// stream is the state of a decoding.
type stream struct {
	d                   *json.Decoder
	light               bool // tenants are read and not kept
	config              *Config
	hash                *xxhash.Digest
	rest                map[string]any    // of the object, but for lists of operations and tenants
	flat                map[string]string // of the item in hand
	paths               []string          // room for its paths in order
	operations, tenants list
}

// list is what was read of operations or tenants.
type list struct {
	seen   bool   // as a list, by which it is counted
	digest uint64 // of its items
	err    error  // the first in an item
}

func (w *stream) object() error {
	tok, err := w.d.Token()
	if err != nil || tok == nil {
		return err
	}
	if tok != json.Delim('{') {
		return fmt.Errorf("settings are an object, not %v", tok)
	}
	for w.d.More() {
		tok, err := w.d.Token()
		if err != nil {
			return err
		}
		key := tok.(string)
		if tok, err = w.d.Token(); err != nil {
			return err
		}
		switch key { // of two of one key the last holds
		case "grades":
			w.operations, w.config.Operations, w.config.Node.Operations = list{}, new(Names), nil
		case "tenants":
			w.tenants, w.config.Tenants, w.config.Node.TenantRates = list{}, new(Names), nil
		}
		delete(w.rest, key)
		switch {
		case key == "grades" && tok == json.Delim('['):
			err = w.list(key, &w.operations, w.config.addOperation)
		case key == "tenants" && tok == json.Delim('['):
			add := w.config.addTenant
			if w.light {
				add = func(s *settings) { s.number("quota_rps") }
			}
			err = w.list(key, &w.tenants, add)
		default:
			w.rest[key], err = w.tree(tok, nestMost)
		}
		if err != nil {
			return err
		}
	}
	_, err = w.d.Token()
	return err
}

// list adds the items of a list; plain values before an object count as items without settings, those after the last
// object don't count.
func (w *stream) list(key string, l *list, add func(*settings)) error {
	l.seen = true
	plain, i := 0, 0
	item := &settings{values: w.flat}
	next := func() {
		item.told = key + "." + strconv.Itoa(i) + "."
		add(item)
		l.digest = l.digest*31 + w.digestOf(w.flat)
		clear(w.flat)
		i++
	}
	for w.d.More() {
		var tree any
		if err := w.d.Decode(&tree); err != nil {
			return err
		}
		if _, object := tree.(map[string]any); !object {
			plain++
			continue
		}
		for ; plain > 0; plain-- {
			next()
		}
		flatten(w.flat, "", tree)
		next()
	}
	l.err = item.err
	_, err := w.d.Token()
	return err
}

// tree reads the value that a token begins.
func (w *stream) tree(tok json.Token, deep int) (any, error) {
	if deep == 0 {
		return nil, fmt.Errorf("more than %d objects and lists within one another", nestMost)
	}
	switch tok {
	case json.Delim('{'):
		object := make(map[string]any)
		for w.d.More() {
			key, err := w.d.Token()
			if err != nil {
				return nil, err
			}
			if tok, err = w.d.Token(); err != nil {
				return nil, err
			}
			if object[key.(string)], err = w.tree(tok, deep-1); err != nil {
				return nil, err
			}
		}
		_, err := w.d.Token()
		return object, err
	case json.Delim('['):
		var list []any
		for w.d.More() {
			tok, err := w.d.Token()
			if err != nil {
				return nil, err
			}
			sub, err := w.tree(tok, deep-1)
			if err != nil {
				return nil, err
			}
			list = append(list, sub)
		}
		_, err := w.d.Token()
		return append([]any{}, list...), err
	}
	return tok, nil
}

// end decodes the rest, once all was read.
func (w *stream) end(seed int64) (*Config, uint64, error) {
	values := make(map[string]string)
	flatten(values, "", w.rest)
	p, s := w.config, &settings{values: values}
	p.read(s, seed)
	errs := []error{s.err}
	if !w.operations.seen { // they may be told by their paths, as pairs are
		for i := range s.count("grades") {
			p.addOperation(s.item("grades." + strconv.Itoa(i) + "."))
			s.item("")
		}
	}
	p.callsOf(s)
	if !w.tenants.seen {
		for i := range s.count("tenants") {
			p.addTenant(s.item("tenants." + strconv.Itoa(i) + "."))
			s.item("")
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
func (w *stream) digestOf(values map[string]string) uint64 {
	w.hash.Reset()
	w.paths = slices.AppendSeq(w.paths[:0], maps.Keys(values))
	slices.Sort(w.paths)
	for _, path := range w.paths {
		w.hash.WriteString(path)
		w.hash.WriteString("=")
		w.hash.WriteString(values[path])
		w.hash.WriteString("\n")
	}
	return w.hash.Sum64()
}
