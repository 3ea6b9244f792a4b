// Package configfile reads configuration files: Jsonnet templates that are evaluated within bounds, validated against a
// JSON Schema and decoded. It doesn't know what the files mean. Its errors give the file, the line and what to do.
package configfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/go-jsonnet"
	"github.com/google/go-jsonnet/ast"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Bounds on a file and its evaluation.
const (
	maxFileBytes      = 256 << 10
	maxImports        = 32 // including those of imported files
	maxStackDepth     = 200
	maxStackTrace     = 4 // lines; one is needed for the position of an error
	evaluationTimeout = 2 * time.Second
	maxResultBytes    = 1 << 20
)

// File is a file that was evaluated.
type File struct {
	Path string
	JSON []byte // of its value

	value      any
	syntaxTree ast.Node // nil where the file can't be parsed
}

// Read evaluates a file. It may import files below its folder, and has no access to the environment or the network.
// An evaluation that exceeds its time goes on in the background, so a process with bounds on its resources has another
// process call Read.
func Read(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, &ProblemError{File: path, Message: err.Error(), Hint: "name a readable file"}
	}
	root, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return nil, &ProblemError{File: path, Message: err.Error()}
	}
	type result struct {
		json string
		err  error
	}
	done := make(chan result, 1) // so that an evaluation that timed out can end
	go func() {
		vm := newVM(path, root)
		json, err := vm.EvaluateAnonymousSnippet(path, string(text))
		done <- result{json, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return nil, evaluationProblem(path, r.err)
		}
		return Rendered(path, []byte(r.json))
	case <-time.After(evaluationTimeout):
		return nil, &ProblemError{File: path, Message: fmt.Sprintf("takes more than %s to evaluate", evaluationTimeout),
			Hint: "look for a template that calls itself or builds a huge array"}
	}
}

// newVM returns the evaluator of one file, with the folder that imports must be below.
func newVM(path, root string) *jsonnet.VM {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.SetTraceOut(io.Discard)
	vm.ErrorFormatter.SetMaxStackTraceSize(maxStackTrace)
	vm.Importer(&importer{root: root, mainFile: path, files: make(map[string]jsonnet.Contents)})
	return vm
}

// Rendered returns a file with the result of an evaluation elsewhere. The file is read for the lines of its values only.
func Rendered(path string, result []byte) (*File, error) {
	if len(result) > maxResultBytes {
		return nil, &ProblemError{File: path, Message: fmt.Sprintf("comes to %d bytes, %d at most", len(result), maxResultBytes),
			Hint: "build less in templates"}
	}
	f := &File{Path: path, JSON: result}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(result))
	if err != nil {
		return nil, &ProblemError{File: path, Message: err.Error()}
	}
	f.value = value
	if text, err := readFile(path); err == nil {
		f.syntaxTree, _ = jsonnet.SnippetToAST(path, string(text)) // without it, problems have no line
	}
	return f, nil
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("has more than %d bytes", maxFileBytes)
	}
	return text, err
}

// Set replaces the value at a path of names and indices, such as "day.load.period". The text of the value is JSON, or
// else a string.
func (f *File) Set(path, text string) error {
	var value any
	if json.Unmarshal([]byte(text), &value) != nil {
		value = text
	}
	if err := f.setValue(strings.Split(path, "."), value); err != nil {
		return err
	}
	rendered, err := json.Marshal(f.value)
	f.JSON = rendered
	return err
}

// setValue replaces a value and creates the objects around it that are missing.
func (f *File) setValue(path []string, value any) error {
	at := f.value
	for depth, name := range path {
		last := depth == len(path)-1
		switch container := at.(type) {
		case map[string]any:
			if last {
				container[name] = value
			} else if _, exists := container[name]; !exists {
				container[name] = make(map[string]any)
			}
			at = container[name]
		case []any:
			index, err := strconv.Atoi(name)
			if err != nil || index < 0 || index >= len(container) {
				return f.At(path[:depth+1], "there is no such item", fmt.Sprintf("items are 0 to %d", len(container)-1))
			}
			if last {
				container[index] = value
			}
			at = container[index]
		default:
			return f.At(path[:depth], "holds a plain value", "set a path that leads to one")
		}
	}
	return nil
}

// Into decodes the file into v, whose fields must cover all of it.
func (f *File) Into(v any) error {
	d := json.NewDecoder(bytes.NewReader(f.JSON))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &ProblemError{File: f.Path, Message: err.Error(), Hint: "mend the value"}
	}
	return nil
}
