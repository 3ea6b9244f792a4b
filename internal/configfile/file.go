// Package configfile reads files of the project's own: Jsonnet templates that are evaluated within bounds, checked
// against a JSON Schema and decoded once. It knows no file's meaning; what it finds wrong names file, line and mend.
package configfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

const (
	maxFileBytes      = 256 << 10       // bytes of one file: some thousand lines
	maxImports        = 32              // files that one may import, those of imports included
	maxStackDepth     = 200             // calls deep that a template may go
	evaluationTimeout = 2 * time.Second // that an evaluation may take
	maxResultBytes    = 1 << 20         // bytes of what a template may come to
	maxListedProblems = 20              // that are told of one file; the rest is counted
)

// ProblemError is one thing wrong with a file.
type ProblemError struct {
	File string
	Line int    // 0 where a template made the value
	Path string // to the value, empty for the file itself
	What string
	Mend string
}

func (p *ProblemError) Error() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
	}
	if p.Path != "" {
		s += ": " + p.Path
	}
	s += ": " + p.What
	if p.Mend != "" {
		s += "; " + p.Mend
	}
	return s
}

// ProblemErrors are all things wrong with a file, as one error.
type ProblemErrors []*ProblemError

func (p ProblemErrors) Error() string {
	all := make([]string, 0, len(p))
	for i, problem := range p {
		if i == maxListedProblems {
			all = append(all, fmt.Sprintf("and %d more", len(p)-i))
			break
		}
		all = append(all, problem.Error())
	}
	return strings.Join(all, "\n")
}

// File is one that was evaluated.
type File struct {
	Path       string
	JSON       []byte
	value      any
	syntaxTree ast.Node
}

// Read evaluates a file. Imports stay below its folder; there is no environment and no network. An evaluation that
// takes too long is left behind, so a program that must not be slowed down has another process call this.
func Read(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, &ProblemError{File: path, What: err.Error(), Mend: "name a readable file"}
	}
	root, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return nil, &ProblemError{File: path, What: err.Error()}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.SetTraceOut(io.Discard)
	vm.ErrorFormatter.SetMaxStackTraceSize(4) // one at the least is needed to name the line
	vm.Importer(&importer{root: root, mainFile: path, files: map[string]jsonnet.Contents{}})
	type result struct {
		json string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		out, err := vm.EvaluateAnonymousSnippet(path, string(text))
		done <- result{out, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return nil, evaluationProblem(path, r.err)
		}
		return Rendered(path, []byte(r.json))
	case <-time.After(evaluationTimeout):
		return nil, &ProblemError{File: path, What: fmt.Sprintf("takes more than %s to evaluate", evaluationTimeout),
			Mend: "look for a template that calls itself or builds a huge array"}
	}
}

// Rendered takes what a file came to elsewhere; the file itself is read for the lines of its values only.
func Rendered(path string, result []byte) (*File, error) {
	if len(result) > maxResultBytes {
		return nil, &ProblemError{File: path, What: fmt.Sprintf("comes to %d bytes, %d at most", len(result), maxResultBytes),
			Mend: "build less in templates"}
	}
	f := &File{Path: path, JSON: result}
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(result))
	if err != nil {
		return nil, &ProblemError{File: path, What: err.Error()}
	}
	f.value = tree
	if text, err := readFile(path); err == nil {
		f.syntaxTree, _ = jsonnet.SnippetToAST(path, string(text))
	}
	return f, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("has more than %d bytes", maxFileBytes)
	}
	return text, err
}

// importer opens files below a folder only, links out of it not followed.
type importer struct {
	root, mainFile string
	files          map[string]jsonnet.Contents
}

func (i *importer) Import(from, path string) (jsonnet.Contents, string, error) {
	base := filepath.Dir(from)
	if from == "" {
		base = filepath.Dir(i.mainFile)
	}
	full, err := filepath.Abs(filepath.Join(base, path))
	if filepath.IsAbs(path) {
		full = path
	}
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	if c, ok := i.files[full]; ok {
		return c, full, nil
	}
	real, err := filepath.EvalSymlinks(full)
	root, rootErr := filepath.EvalSymlinks(i.root)
	if err != nil || rootErr != nil {
		return jsonnet.Contents{}, "", fmt.Errorf("there is no file %q", path)
	}
	if !strings.HasPrefix(real, root+string(filepath.Separator)) {
		return jsonnet.Contents{}, "", fmt.Errorf("%q lies outside the folder of the file", path)
	}
	if len(i.files) >= maxImports {
		return jsonnet.Contents{}, "", fmt.Errorf("more than %d files are imported", maxImports)
	}
	text, err := readFile(real)
	if err != nil {
		return jsonnet.Contents{}, "", fmt.Errorf("%q: %w", path, err)
	}
	i.files[full] = jsonnet.MakeContents(string(text))
	return i.files[full], full, nil
}

var errorPosition = regexp.MustCompile(`([^\s:()]+):\(?(\d+):[-\d:()]+ ?`)

// evaluationProblem turns what the language says into a problem.
func evaluationProblem(path string, err error) error {
	text := strings.TrimSpace(err.Error())
	p := &ProblemError{File: path, Mend: "mend the template"}
	if at := errorPosition.FindStringSubmatch(text); at != nil {
		p.File = at[1]
		p.Line, _ = strconv.Atoi(at[2])
		text = strings.TrimPrefix(text, at[0])
	}
	text, _, _ = strings.Cut(text, "\n")
	p.What = strings.TrimPrefix(text, "RUNTIME ERROR: ")
	switch {
	case strings.Contains(text, "max stack frames exceeded"):
		p.Mend = "look for a template or an import that calls itself"
	case strings.Contains(text, "there is no file"), strings.Contains(text, "outside the folder"):
		p.Mend = "import files below the folder of this one"
	}
	return p
}

// Schema is what a kind of file may hold.
type Schema struct{ compiled *jsonschema.Schema }

// Compile reads a schema; it panics on one that is not sound, as a schema is part of the program.
func Compile(name, text string) *Schema {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		panic("settings: schema " + name + ": " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic("settings: schema " + name + ": " + err.Error())
	}
	return &Schema{c.MustCompile(name)}
}

// Check names all that a schema does not allow.
func (f *File) Check(s *Schema) error {
	err := s.compiled.Validate(f.value)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var found ProblemErrors
	f.collect(invalid, &found)
	slices.SortStableFunc(found, func(a, b *ProblemError) int { return a.Line - b.Line })
	return found
}

// At makes a problem of the value at a path.
func (f *File) At(path []string, what, mend string) *ProblemError {
	return &ProblemError{File: f.Path, Line: f.lineOf(path), Path: strings.Join(path, "."), What: what, Mend: mend}
}

func (f *File) collect(e *jsonschema.ValidationError, found *ProblemErrors) {
	if len(e.Causes) > 0 {
		for _, cause := range e.Causes {
			f.collect(cause, found)
		}
		return
	}
	at := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			*found = append(*found, f.At(append(slices.Clone(at), name), "no such setting here", "drop it, or look at its spelling"))
		}
	case *kind.Required:
		*found = append(*found, f.At(at, "misses "+strings.Join(k.Missing, ", "), "add it"))
	case *kind.Type:
		mend := "write a " + strings.Join(k.Want, " or ")
		if slices.Equal(k.Want, []string{"string"}) && (k.Got == "number" || k.Got == "integer") {
			mend = `write it with its unit: "250 ms", "30 %", "64 kB"`
		}
		*found = append(*found, f.At(at, "is a "+k.Got, mend))
	case *kind.Pattern:
		*found = append(*found, f.At(at, fmt.Sprintf("%q has no unit that is known here", k.Got),
			`write a number and its unit: "250 ms", "30 %", "64 kB"`))
	case *kind.Enum:
		*found = append(*found, f.At(at, fmt.Sprintf("%v is not one of %v", k.Got, k.Want), "choose one of them"))
	case *kind.MinItems:
		*found = append(*found, f.At(at, fmt.Sprintf("has %d, %d at the least", k.Got, k.Want), "add one"))
	case *kind.MinLength:
		*found = append(*found, f.At(at, "is empty", "name it"))
	case *kind.MinProperties:
		*found = append(*found, f.At(at, "is empty", "add what it is to hold"))
	default:
		text := e.Error()
		if _, after, cut := strings.Cut(text, "': "); cut {
			text = after
		}
		*found = append(*found, f.At(at, text, "mend the value"))
	}
}

// lineOf finds where the value at a path is written, or the nearest one around it that is written out; 0 where a
// template made all of it.
func (f *File) lineOf(path []string) int {
	at := f.syntaxTree
	line := 0
	for depth := 0; at != nil; {
		switch n := at.(type) {
		case *ast.Local:
			at = n.Body
			continue
		case *ast.Parens:
			at = n.Inner
			continue
		case *ast.DesugaredObject:
			if line == 0 {
				line = n.Loc().Begin.Line
			}
			if depth == len(path) {
				return line
			}
			var body ast.Node
			for _, field := range n.Fields {
				if name, ok := field.Name.(*ast.LiteralString); ok && name.Value == path[depth] {
					body, line = field.Body, field.LocRange.Begin.Line
				}
			}
			at = body
		case *ast.Array:
			k, err := strconv.Atoi(pathElement(path, depth))
			if err != nil || k < 0 || k >= len(n.Elements) {
				return line
			}
			at = n.Elements[k].Expr
			if loc := at.Loc(); loc != nil && loc.Begin.Line > 0 {
				line = loc.Begin.Line
			}
		default:
			return line
		}
		depth++
		if depth >= len(path) {
			return line
		}
	}
	return line
}

func pathElement(path []string, depth int) string {
	if depth < len(path) {
		return path[depth]
	}
	return ""
}

// Set puts another value at a path of names and indices, "day.load.period"; the value is JSON, or else a text.
func (f *File) Set(path, value string) error {
	var to any = value
	if json.Unmarshal([]byte(value), &to) != nil {
		to = value
	}
	names := strings.Split(path, ".")
	at := f.value
	for depth, name := range names {
		last := depth == len(names)-1
		switch of := at.(type) {
		case map[string]any:
			if last {
				of[name] = to
			} else if _, there := of[name]; !there {
				of[name] = map[string]any{}
			}
			at = of[name]
		case []any:
			k, err := strconv.Atoi(name)
			if err != nil || k < 0 || k >= len(of) {
				return f.At(names[:depth+1], "there is no such item", fmt.Sprintf("items are 0 to %d", len(of)-1))
			}
			if last {
				of[k] = to
			}
			at = of[k]
		default:
			return f.At(names[:depth], "holds a plain value", "set a path that leads to one")
		}
	}
	text, err := json.Marshal(f.value)
	f.JSON = text
	return err
}

// Into decodes the file.
func (f *File) Into(v any) error {
	d := json.NewDecoder(bytes.NewReader(f.JSON))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &ProblemError{File: f.Path, What: err.Error(), Mend: "mend the value"}
	}
	return nil
}
