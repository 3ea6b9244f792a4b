package configfile

import (
	"strconv"

	"github.com/google/go-jsonnet/ast"
)

// lineOf returns the line of the value at a path, or of the innermost one around it that is written in the file; 0 where
// a template computes all of it.
func (f *File) lineOf(path []string) int {
	node := f.syntaxTree
	line := 0
	for depth := 0; node != nil; {
		switch n := node.(type) {
		case *ast.Local:
			node = n.Body
			continue
		case *ast.Parens:
			node = n.Inner
			continue
		case *ast.DesugaredObject:
			if line == 0 {
				line = n.Loc().Begin.Line
			}
			if depth == len(path) {
				return line
			}
			field := fieldOf(n, path[depth])
			if field == nil {
				return line
			}
			node = field.Body
			line = field.LocRange.Begin.Line
		case *ast.Array:
			node = elementOf(n, path, depth)
			if node == nil {
				return line
			}
			if loc := node.Loc(); loc != nil && loc.Begin.Line > 0 {
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

// fieldOf returns the last field of a name, nil without one.
func fieldOf(object *ast.DesugaredObject, name string) (found *ast.DesugaredObjectField) {
	for i := range object.Fields {
		field := &object.Fields[i]
		if literal, ok := field.Name.(*ast.LiteralString); ok && literal.Value == name {
			found = field
		}
	}
	return found
}

// elementOf returns the element of an array that a path leads to, nil without one.
func elementOf(array *ast.Array, path []string, depth int) ast.Node {
	if depth >= len(path) {
		return nil
	}
	index, err := strconv.Atoi(path[depth])
	if err != nil || index < 0 || index >= len(array.Elements) {
		return nil
	}
	return array.Elements[index].Expr
}
