package configfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// Schema is the JSON Schema of a kind of file.
type Schema struct{ compiled *jsonschema.Schema }

// Compile compiles a schema. It panics on one that is not valid, as schemas are part of the program.
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

// Check returns ProblemErrors with all that a schema does not allow, in the order of lines.
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

// At returns a problem with the value at a path.
func (f *File) At(path []string, message, hint string) *ProblemError {
	return &ProblemError{File: f.Path, Line: f.lineOf(path), Path: strings.Join(path, "."), Message: message, Hint: hint}
}

// collect appends the problems of a validation error that has no further causes.
func (f *File) collect(e *jsonschema.ValidationError, found *ProblemErrors) {
	for _, cause := range e.Causes {
		f.collect(cause, found)
	}
	if len(e.Causes) > 0 {
		return
	}
	at := e.InstanceLocation
	if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range unknown.Properties {
			path := append(slices.Clone(at), name)
			*found = append(*found, f.At(path, "no such setting here", "drop it, or look at its spelling"))
		}
		return
	}
	what, mend := describe(e)
	*found = append(*found, f.At(at, what, mend))
}

const unitHint = `"250 ms", "30 %", "64 kB"`

// describe returns what is wrong with a value and what to do about it.
func describe(e *jsonschema.ValidationError) (what, mend string) {
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return "misses " + strings.Join(k.Missing, ", "), "add it"
	case *kind.Type:
		if slices.Equal(k.Want, []string{"string"}) && (k.Got == "number" || k.Got == "integer") {
			return "is a " + k.Got, "write it with its unit: " + unitHint
		}
		return "is a " + k.Got, "write a " + strings.Join(k.Want, " or ")
	case *kind.Pattern:
		return fmt.Sprintf("%q has no unit that is known here", k.Got), "write a number and its unit: " + unitHint
	case *kind.Enum:
		return fmt.Sprintf("%v is not one of %v", k.Got, k.Want), "choose one of them"
	case *kind.MinItems:
		return fmt.Sprintf("has %d, %d at the least", k.Got, k.Want), "add one"
	case *kind.MinLength:
		return "is empty", "name it"
	case *kind.MinProperties:
		return "is empty", "add what it is to hold"
	}
	text := e.Error()
	if _, after, found := strings.Cut(text, "': "); found {
		text = after
	}
	return text, "mend the value"
}
