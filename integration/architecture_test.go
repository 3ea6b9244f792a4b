package integration

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// declared returns the functions, methods and types that a file declares, methods as Type.Method.
func declared(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	names := map[string]bool{}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[receiver(d)+d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if s, isType := spec.(*ast.TypeSpec); isType {
					names[s.Name.Name] = true
				}
			}
		}
	}
	return names
}

func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	of := d.Recv.List[0].Type
	if pointer, isPointer := of.(*ast.StarExpr); isPointer {
		of = pointer.X
	}
	return of.(*ast.Ident).Name + "."
}

// The architecture page names only functions and types that are there.
func TestArchitecturePageNamesWhatIsDeclared(t *testing.T) {
	page, err := os.ReadFile("../docs/ARCHITECTURE.md")
	require.NoError(t, err)
	references := regexp.MustCompile("`([a-z/_]+\\.go): ([A-Za-z.]+)`").FindAllStringSubmatch(string(page), -1)
	require.Greater(t, len(references), 50)
	for _, reference := range references {
		path := filepath.Join("..", reference[1])
		if assert.FileExists(t, path) {
			assert.True(t, declared(t, path)[reference[2]], reference[0])
		}
	}
}
