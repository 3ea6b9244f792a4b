package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	// Before names the files of the build that came before this one's mechanism.
	Before    = "before"
	beginMark = "<!-- made from docs/capacity: %s -->"
	endMark   = "<!-- end -->"
)

var errMarks = errors.New("the page's marks are broken")

func path(docs, name, quantity string) string {
	if name != "" {
		quantity = name + "-" + quantity
	}
	return filepath.Join(docs, "capacity", quantity+".json")
}

// Write leaves a document as a file, of this build or of one that has a name.
func (d *Document) Write(docs, name string) error {
	text, err := json.MarshalIndent(d, "", " ")
	if err == nil {
		err = os.MkdirAll(filepath.Join(docs, "capacity"), 0o755)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(path(docs, name, d.Quantity), append(text, '\n'), 0o644)
}

// Read reads a document; nil where there is none.
func Read(docs, name, quantity string) (*Document, error) {
	text, err := os.ReadFile(path(docs, name, quantity))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	d := new(Document)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		return nil, fmt.Errorf("%s: %w", path(docs, name, quantity), err)
	}
	return d, nil
}

// WritePage makes the marked parts of docs/CAPACITY.md anew from the files; all else stays as it was written.
func WritePage(docs string) error {
	at := filepath.Join(docs, "CAPACITY.md")
	text, err := os.ReadFile(at)
	if err != nil {
		return err
	}
	made, err := Page(string(text), docs)
	if err != nil {
		return fmt.Errorf("%s: %w", at, err)
	}
	return os.WriteFile(at, []byte(made), 0o644)
}

// Page is a page with its marked parts made from the files in docs/capacity.
func Page(text, docs string) (string, error) {
	set, err := readAll(docs)
	if err != nil {
		return "", err
	}
	begin, _, _ := strings.Cut(beginMark, "%s")
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, begin)
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		part, rest, named := strings.Cut(rest, " -->")
		_, rest, ended := strings.Cut(rest, endMark)
		if !named || !ended {
			return "", fmt.Errorf("%w: %q has no end", errMarks, part)
		}
		table, err := set.part(part)
		if err != nil {
			return "", fmt.Errorf("%s: %w", part, err)
		}
		fmt.Fprintf(&out, beginMark+"\n\n%s\n%s", part, table, endMark)
		text = rest
	}
}

// documents are all that was measured, by name of the build and quantity.
type documents map[string]*Document

func readAll(docs string) (documents, error) {
	set := documents{}
	for _, q := range Quantities() {
		for _, name := range []string{"", Before} {
			d, err := Read(docs, name, q.Name)
			if err != nil {
				return nil, err
			}
			if d != nil {
				set[name+"/"+q.Name] = d
			}
		}
	}
	return set, nil
}

func quantity(name string) *Quantity {
	for _, q := range Quantities() {
		if q.Name == name {
			return q
		}
	}
	return nil
}

// part makes one marked part: runs, reach, roles, day, before, or the ladder of a quantity.
func (set documents) part(name string) (string, error) {
	switch name {
	case "runs":
		return set.runs(), nil
	case "reach":
		return set.reach()
	case "roles":
		return set.roles()
	case "day":
		return set.day()
	case "before":
		return set.compare(), nil
	}
	q := quantity(name)
	if q == nil {
		return "", fmt.Errorf("%w: no part has this name", errMarks)
	}
	d := set["/"+name]
	if d == nil {
		return q.Title + ": not run.\n", nil
	}
	return ladder(q, d) + "\n" + fits(q, d), nil
}

// table writes rows in columns.
func table(head []string, rows [][]string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat(" --- |", len(head)))
	for _, r := range rows {
		fmt.Fprintf(&out, "| %s |\n", strings.Join(r, " | "))
	}
	return out.String()
}

// figure writes a number with three digits that count, and thousands set apart.
func figure(v float64) string {
	switch {
	case math.IsInf(v, 0):
		return "no end"
	case v == 0:
		return "0"
	case math.Abs(v) >= 100:
		digits := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2)
		return thousands(math.Round(v/digits) * digits)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// size writes a size as it was played, whole.
func size(v float64) string {
	if v >= 1_000 {
		return thousands(math.Round(v))
	}
	return strconv.FormatFloat(math.Round(v*10)/10, 'f', -1, 64)
}

func thousands(v float64) string {
	digits := strconv.FormatFloat(math.Abs(v), 'f', 0, 64)
	for k := len(digits) - 3; k > 0; k -= 3 {
		digits = digits[:k] + "," + digits[k:]
	}
	if v < 0 {
		return "-" + digits
	}
	return digits
}

func (set documents) runs() string {
	var rows [][]string
	for _, name := range []string{"", Before} {
		for _, q := range Quantities() {
			if d := set[name+"/"+q.Name]; d != nil {
				_, revision, _ := strings.Cut(d.Build, "revision ")
				revision, _, _ = strings.Cut(revision, " ")
				rows = append(rows, []string{q.Name, or(name, "this"), d.Date, strconv.Itoa(d.Cores), d.Go, revision[:min(10, len(revision))],
					strconv.FormatInt(d.Seed, 10), d.Load})
			}
		}
	}
	return table([]string{"quantity", "build", "date, UTC", "cores", "Go", "commit", "seed", "machine's load, before and after"}, rows)
}

func or(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

// ladder is what each size came to.
func ladder(q *Quantity, d *Document) string {
	head := []string{q.Unit}
	for _, m := range q.Measures {
		head = append(head, m.Title)
	}
	var rows [][]string
	for _, r := range d.Rungs {
		row := []string{size(r.Size)}
		for _, m := range q.Measures {
			v, measured := r.Measures[m.Key]
			if row = append(row, "not measured"); measured {
				row[len(row)-1] = figure(v)
			}
		}
		rows = append(rows, row)
	}
	text := table(head, rows)
	if d.Ended != "" {
		text += "\n**Not played to its end** at " + d.Ended + ".\n"
	}
	return text
}

// fits are the lines through it, carried to the wanted size.
func fits(q *Quantity, d *Document) string {
	var rows [][]string
	for _, m := range q.Measures {
		f, fitted := d.Fits[m.Key]
		if !fitted {
			continue
		}
		shape := "grows"
		if f.Slope < 0 {
			shape = "falls"
		}
		if f.Flat() {
			shape = "flat, as far as the error lets tell"
		}
		rows = append(rows, []string{m.Title, figure(f.Base), figure(f.Slope) + " ± " + figure(f.Error), figure(f.Residual), shape, carried(&f, q.Wanted)})
	}
	if rows == nil {
		return ""
	}
	return table([]string{"line", "at none", "slope for each one, ± its standard error", "residual", "shape", "at " + size(q.Wanted)}, rows)
}

// carried is a line's value at a size, and says where that is far beyond what was played.
func carried(f *Fit, x float64) string {
	text := figure(f.At(x))
	if f.Far(x) {
		text += fmt.Sprintf(" (%s times what was played: beyond %g times)", figure(x/f.Played), FarMost)
	} else if x > f.Played*1.001 {
		text += fmt.Sprintf(" (%s times what was played)", figure(x/f.Played))
	}
	return text
}

// compare sets the build of before beside this one, at the largest size of each.
func (set documents) compare() string {
	var rows [][]string
	for _, q := range Quantities() {
		was, is := set[Before+"/"+q.Name], set["/"+q.Name]
		if was == nil || is == nil {
			continue
		}
		for _, m := range q.Measures {
			a, measured := was.Value(m.Key)
			b, again := is.Value(m.Key)
			if measured && again {
				rows = append(rows, []string{q.Title, size(was.Rungs[len(was.Rungs)-1].Size), m.Title, figure(a), figure(b)})
			}
		}
	}
	if rows == nil {
		return "Not run on two builds yet.\n"
	}
	return table([]string{"quantity", "size", "measure", "before", "this build"}, rows)
}
