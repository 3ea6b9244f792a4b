package integration

import (
	"go/scanner"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"unicode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOuterNamesStandInCode guards against a rename that changes a name in a message, a stored record, a setting, a
// command or a metric. Each listed name must be a whole word of Go code outside comments and tests, of deploy/ or of
// experiments/.
func TestOuterNamesStandInCode(t *testing.T) {
	list, err := os.ReadFile("testdata/outer-names.txt")
	require.NoError(t, err)
	code := codeOutsideTests(t)
	checked := 0
	for line := range strings.Lines(string(list)) {
		name := strings.TrimSpace(line)
		if name == "" || strings.HasPrefix(name, "#") {
			continue
		}
		checked++
		assert.True(t, containsWord(code, name), "the outer name %q is gone", name)
	}
	require.Greater(t, checked, 500, "the list is cut short")
}

// codeOutsideTests returns the tokens of all Go files outside tests, and the files of deploy/ and experiments/.
func codeOutsideTests(t *testing.T) string {
	list := exec.Command("git", "ls-files", "*.go", "deploy", "experiments")
	list.Dir = ".."
	files, err := list.Output()
	require.NoError(t, err)
	var code strings.Builder
	for file := range strings.Lines(string(files)) {
		path := filepath.Join("..", strings.TrimSpace(file))
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		if strings.HasSuffix(path, ".go") {
			writeTokens(&code, text)
		} else {
			code.Write(text)
		}
	}
	return code.String()
}

// writeTokens writes the identifiers and literals of a Go file, one a line, without its comments.
func writeTokens(to *strings.Builder, source []byte) {
	file := token.NewFileSet().AddFile("", -1, len(source))
	var s scanner.Scanner
	s.Init(file, source, nil, 0)
	for {
		_, kind, literal := s.Scan()
		if kind == token.EOF {
			return
		}
		to.WriteString(literal + "\n")
	}
}

// containsWord reports whether a word stands in a text with no letter, digit or underscore beside it.
func containsWord(text, word string) bool {
	for {
		before, after, found := strings.Cut(text, word)
		if !found {
			return false
		}
		if !endsInWord(before) && !startsInWord(after) {
			return true
		}
		text = after
	}
}

func startsInWord(text string) bool { return text != "" && isWordByte(text[0]) }

func endsInWord(text string) bool { return text != "" && isWordByte(text[len(text)-1]) }

func isWordByte(b byte) bool {
	return b == '_' || unicode.IsLetter(rune(b)) || unicode.IsDigit(rune(b))
}
