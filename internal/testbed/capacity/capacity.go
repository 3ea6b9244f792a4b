package capacity

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Wanted are the operators' sizes of two years from now, as docs/CAPACITY.md states them; only RequestsEach, TokensPart
// and CheckEvery are reckoned or assumed here.
const (
	WantedNodes       = 1_300
	WantedCallers     = 14_000
	WantedRoutes      = 4_700
	WantedTenants     = 130_000
	WantedRequests    = 220_000.0                    // a second, of the fleet at its peak
	WantedChanges     = 900                          // a day
	WantedRestarts    = 3_000                        // a day
	WantedAdded       = 2.7                          // ms at p99
	BudgetCPU         = 14.0                         // ms of processor time a second for control: 1.4 % of a core
	BudgetMB          = 32.0                         // for control
	BudgetBytes       = 21_000.0                     // a second for control
	RequestsEach      = WantedRequests / WantedNodes // a second and node
	RegionLost        = 7.0 / 6                      // times that, with the load of one region of seven on the others
	TokensPart        = 0.25                         // of requests that bring a token, assumed: the shares of poterie-lannion's keyed classes
	WantedTokens      = WantedRequests * TokensPart
	CheckEvery        = 10.0 // s between health checks of one caller, assumed: callers that rest longer than 15 s lose their connection
	DaySeconds        = 86_400.0
	oneCore           = 1_000.0 // ms of processor time a second
	portion           = 100.0   // x of the quantity configuration is in percent of the wanted size
	loadDuration      = 6 * time.Second
	shortLoadDuration = 2 * time.Second
	warmupDuration    = time.Second
	connectionsUsed   = 64
)

// Rung is what one size came to. Measures are by key; a key that a rung lacks was not measured there.
type Rung struct {
	Size     float64            `json:"size"`
	Measures map[string]float64 `json:"measures"`
}

// Document is one quantity as it was measured.
type Document struct {
	Quantity string         `json:"quantity"`
	Date     string         `json:"date"`
	Cores    int            `json:"cores"`
	Go       string         `json:"go"`
	Build    string         `json:"build"` // what the measured program says of itself
	Seed     int64          `json:"seed"`
	Load     string         `json:"machine_load"`    // load averages of the machine at the beginning and at the end: others used it too
	Ended    string         `json:"ended,omitempty"` // size that could not be played to its end, and why; no larger one was tried
	Rungs    []Rung         `json:"rungs"`
	Fits     map[string]Fit `json:"fits"`
}

// Measure is one thing that is measured of a quantity.
type Measure struct {
	Key, Title string
	Fitted     bool
}

// Quantity is one that a ladder is climbed of.
type Quantity struct {
	Name, Title, Unit string
	Wanted            float64 // in Unit
	Ladder, Short     []float64
	Played            string // measure that is the size as it was played, where that may be less than was asked for
	Measures          []Measure
	Alone             bool // sizes of the short ladder are played one after the other, as a busy machine changes what is asserted
	Configured        bool // it is measured of other builds, too
	climb             func(b *Bench, size float64) (map[string]float64, error)
}

// Bench is what ladders are climbed with.
type Bench struct {
	Program string // a built daemon
	Lab     string // the built topazlab, whose processes are hollow nodes
	Seed    int64
	Brief   bool    // short plays
	Most    float64 // largest size that is tried, 0 for all
	Log     io.Writer
	folder  string
	bareMB  float64 // resident in a node with one route and nothing in service, 0 before it was measured
}

func (b *Bench) length() time.Duration {
	if b.Brief {
		return shortLoadDuration
	}
	return loadDuration
}

// Climb measures a quantity on its ladder and fits what is to be fitted.
func (b *Bench) Climb(q *Quantity) (*Document, error) {
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	b.folder = folder
	out, err := exec.Command(b.Program, "version").Output()
	if err != nil {
		return nil, fmt.Errorf("%s version: %w", b.Program, err)
	}
	doc := &Document{Quantity: q.Name, Date: time.Now().UTC().Format("2006-01-02 15:04"), Cores: runtime.NumCPU(), Go: runtime.Version(),
		Build: strings.TrimSpace(string(out)), Seed: b.Seed, Load: loads(), Fits: map[string]Fit{}}
	if err := b.climbLadder(q, doc); err != nil {
		return nil, err
	}
	doc.Load += ", " + loads()
	for _, m := range q.Measures {
		if !m.Fitted {
			continue
		}
		x, y := doc.Series(m.Key)
		f, err := Line(x, y)
		if errors.Is(err, errTooFewPoints) {
			continue
		}
		doc.Fits[m.Key] = f
	}
	return doc, nil
}

// climbLadder measures each size of a ladder. Where one fails after others were measured, the document says so and ends there.
func (b *Bench) climbLadder(q *Quantity, doc *Document) error {
	ladder := q.Ladder
	climb := func(_ int, size float64) (map[string]float64, error) { return q.climb(b, size) }
	if b.Brief {
		ladder = q.Short
	}
	if b.Brief && !q.Alone {
		together, err := b.atOnce(q, ladder)
		if err != nil {
			return err
		}
		climb = func(k int, _ float64) (map[string]float64, error) { return together[k].measures, together[k].err }
	}
	for k, size := range ladder {
		if b.Most > 0 && size > b.Most {
			doc.Ended = fmt.Sprintf("%g: not tried", size)
			break
		}
		m, err := climb(k, size)
		if err != nil && (len(doc.Rungs) == 0 || b.Brief) {
			return fmt.Errorf("%s %g: %w", q.Name, size, err)
		}
		if err != nil {
			doc.Ended = fmt.Sprintf("%g: %s", size, err) // what was measured before counts all the same
			break
		}
		if played, other := m[q.Played]; other {
			size = played
		}
		doc.Rungs = append(doc.Rungs, Rung{size, m})
		b.logRung(q.Name, size, m)
	}
	return nil
}

// logRung writes the measures of a size as a line.
func (b *Bench) logRung(name string, size float64, measures map[string]float64) {
	if b.Log == nil {
		return
	}
	fmt.Fprintf(b.Log, "%s %g:", name, size)
	for _, k := range slices.Sorted(maps.Keys(measures)) {
		fmt.Fprintf(b.Log, " %s %.4g", k, measures[k])
	}
	fmt.Fprintln(b.Log)
}

// played is what a size came to.
type played struct {
	measures map[string]float64
	err      error
}

// atOnce plays all sizes of a short ladder at the same time, each in a folder of its own: what is asserted of them is shapes of
// memory and bytes, and that things come about, which others on the machine don't change.
func (b *Bench) atOnce(q *Quantity, ladder []float64) ([]played, error) {
	list := make([]played, len(ladder))
	var group sync.WaitGroup
	for k, size := range ladder {
		if b.Most > 0 && size > b.Most {
			break
		}
		own := *b
		own.folder = filepath.Join(b.folder, strconv.Itoa(k))
		if err := os.Mkdir(own.folder, 0o700); err != nil {
			return nil, err
		}
		group.Go(func() { list[k].measures, list[k].err = q.climb(&own, size) })
	}
	group.Wait()
	return list, nil
}

// Series are the sizes at which a measure was taken, and its values.
func (d *Document) Series(key string) (x, y []float64) {
	for _, r := range d.Rungs {
		if v, measured := r.Measures[key]; measured {
			x = append(x, r.Size)
			y = append(y, v)
		}
	}
	return x, y
}

// Value is a measure at the largest size played.
func (d *Document) Value(key string) (float64, bool) {
	_, y := d.Series(key)
	if len(y) == 0 {
		return 0, false
	}
	return y[len(y)-1], true
}

// loads are the machine's load averages.
func loads() string {
	text, _ := os.ReadFile("/proc/loadavg")
	if f := strings.Fields(string(text)); len(f) > 0 {
		return f[0]
	}
	return "unknown"
}
