package configfile

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

const maxListedProblems = 20 // of one file; the others are counted

// ProblemError is a problem with a file.
type ProblemError struct {
	File    string
	Line    int    // 0 where a template computes the value
	Path    string // of the value, empty for the file itself
	Message string // is wrong
	Hint    string // what to do about it, empty where nothing is known
}

// Error returns the problem in one line.
func (p *ProblemError) Error() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
	}
	if p.Path != "" {
		s += ": " + p.Path
	}
	s += ": " + p.Message
	if p.Hint != "" {
		s += "; " + p.Hint
	}
	return s
}

// ProblemErrors are all problems with a file, as one error.
type ProblemErrors []*ProblemError

// Error returns a line for each problem.
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

// errorPosition matches the file and line in an error of the evaluator.
var errorPosition = regexp.MustCompile(`([^\s:()]+):\(?(\d+):[-\d:()]+ ?`)

// evaluationProblem returns the problem that an error of the evaluator describes.
func evaluationProblem(path string, err error) error {
	text := strings.TrimSpace(err.Error())
	p := &ProblemError{File: path, Hint: "mend the template"}
	if at := errorPosition.FindStringSubmatch(text); at != nil {
		p.File = at[1]
		p.Line, _ = strconv.Atoi(at[2]) // digits, or too many of them for a line
		text = strings.TrimPrefix(text, at[0])
	}
	text, _, _ = strings.Cut(text, "\n")
	p.Message = strings.TrimPrefix(text, "RUNTIME ERROR: ")
	switch {
	case strings.Contains(text, "max stack frames exceeded"):
		p.Hint = "look for a template or an import that calls itself"
	case strings.Contains(text, "there is no file"), strings.Contains(text, "outside the folder"):
		p.Hint = "import files below the folder of this one"
	}
	return p
}
