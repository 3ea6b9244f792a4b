package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const docs = "../../../docs"

// The page's tables are what the files under docs/capacity make them: no figure stands in them that no run gave.
func TestPageIsMadeFromItsFiles(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	require.NoError(t, err)
	made, err := Page(string(text), docs)
	require.NoError(t, err)
	assert.Equal(t, made, string(text), "make the tables anew: topazlab capacity --page")
	for _, part := range append([]string{"runs", "reach", "roles", "day", "before"}, names()...) {
		assert.Contains(t, string(text), fmt.Sprintf(beginMark, part))
	}
}

func names() (list []string) {
	for _, q := range Quantities() {
		list = append(list, q.Name)
	}
	return list
}

// What the files say of fits is what their rungs come to.
func TestFitsOfTheFilesAreThoseOfTheirRungs(t *testing.T) {
	set, err := readAll(docs)
	require.NoError(t, err)
	for name, d := range set {
		for _, m := range quantity(d.Quantity).Measures {
			x, y := d.Series(m.Key)
			f, err := Line(x, y)
			got, fitted := d.Fits[m.Key]
			assert.Equal(t, m.Fitted && err == nil, fitted, "%s %s", name, m.Key)
			if fitted {
				assert.InEpsilon(t, 1+f.Slope, 1+got.Slope, 1e-9, "%s %s", name, m.Key)
				assert.InEpsilon(t, 1+f.Error, 1+got.Error, 1e-9, "%s %s", name, m.Key)
			}
		}
	}
}

func TestPartOfAPage(t *testing.T) {
	folder := t.TempDir()
	d := &Document{Quantity: "routes", Build: "topazpost v0 revision 0123456789abcdef go1", Fits: map[string]Fit{}}
	for _, x := range []float64{100, 200, 400} {
		d.Rungs = append(d.Rungs, Rung{x, map[string]float64{"rss_mb": 20 + x/100}})
	}
	f, err := Line(d.Series("rss_mb"))
	require.NoError(t, err)
	d.Fits["rss_mb"] = f
	require.NoError(t, d.Write(folder, ""))
	again, err := Read(folder, "", "routes")
	require.NoError(t, err)
	assert.Equal(t, d, again)
	made, err := Page("a\n<!-- made from docs/capacity: routes -->old<!-- end -->\nb\n<!-- made from docs/capacity: tenants --><!-- end -->\n", folder)
	require.NoError(t, err)
	assert.Contains(t, made, "a\n<!-- made")
	assert.NotContains(t, made, "old")
	assert.Contains(t, made, "| resident, MB | 20 | 0.01 ± 0 |")
	assert.Contains(t, made, "| 67 (11.8 times what was played: beyond 4 times) |")
	assert.Contains(t, made, "not measured")
	assert.Contains(t, made, "<!-- end -->\nb\n")
	assert.Contains(t, made, "Tenants, with one route: not run.")
	same, err := Page(made, folder)
	require.NoError(t, err)
	assert.Equal(t, made, same)

	_, err = Page("<!-- made from docs/capacity: routes -->", folder)
	assert.ErrorIs(t, err, errMarks)
	_, err = Page("<!-- made from docs/capacity: roots --><!-- end -->", folder)
	assert.ErrorIs(t, err, errMarks)
}

func TestFiguresHaveThreeDigits(t *testing.T) {
	for v, text := range map[float64]string{0: "0", 0.012345: "0.0123", 12.345: "12.3", 1234.5: "1,230", 220_000: "220,000", -5432: "-5,430"} {
		assert.Equal(t, text, figure(v))
	}
	assert.Equal(t, "4,700", size(4_700))
	assert.Equal(t, "169.2", size(RequestsEach))
}
