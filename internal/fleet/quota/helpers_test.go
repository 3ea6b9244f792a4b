package quota

import (
	"container/heap"
	"fmt"
	"math/rand"
)

var (
	a     = Owner{"a", 1}
	b     = Owner{"b", 1}
	c     = Owner{"c", 1}
	terms = HolderConfig{Name: "calls", Term: 4_000 * ms, Hold: 500 * ms, Units: 10}
)

// defined is a book with one limit, whose first grants need not wait.
func defined(units int64) *LeaseTable {
	x := NewLeaseTable()
	x.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: units, Version: 1, StartDelay: -MaxTimeStep})
	return x
}

func ask(who Owner, seq uint64, keep, want int64) *Command {
	return &Command{Kind: CommandRequestLease, Sender: who, Seq: seq, Limit: "calls", UnitsInUse: keep, WantedUnits: want, LeaseDuration: terms.Term}
}

// site is a holder with a clock of its own rate, and the units that it uses.
type site struct {
	holder *LeaseHolder
	rate   float64
	until  int64   // that it stands still
	used   []int64 // when each use ends, in the world's time
	load   int
	life   uint64
	woken  int64
	got    []Verdict
}

type happening struct {
	at, seq int64
	do      func()
}

type happenings []happening

func (x happenings) Len() int { return len(x) }
func (x happenings) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].seq < x[j].seq
}
func (x happenings) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *happenings) Push(e any)   { *x = append(*x, e.(happening)) }
func (x *happenings) Pop() any     { l := (*x)[len(*x)-1]; *x = (*x)[:len(*x)-1]; return l }

// world plays holders over links that lose, delay and double, beside one book whose time lags behind the world's.
type world struct {
	chance   *rand.Rand
	now, seq int64
	queue    happenings
	book     *LeaseTable
	table    int64 // its time
	passed   int64
	sites    []*site
	cut      []bool
	loss     float64
	late     int64 // ns that a message may take at the most
	wrong    string
	past     bool  // mutation: leases are used past their end
	hoard    bool  // mutation: holders give nothing back
	share    int64 // that each site may use whatever its lease, as fixed shares are; 0 for leases
	judged   bool  // the limit is wanted, and no bound lets it lie unused
	area     float64
	length   float64
	peak     int
	terms    HolderConfig
}

func newWorld(seed int64, sites int, limit int64) *world {
	w := &world{chance: rand.New(rand.NewSource(seed)), now: 1, book: NewLeaseTable(), late: 2 * ms, terms: terms}
	w.terms.Units = limit
	w.book.Apply(0, &Command{Kind: CommandDefineLimit, Limit: "calls", Units: limit, Version: 1, StartDelay: terms.Term})
	w.cut = make([]bool, sites)
	for i := range sites {
		w.sites = append(w.sites, &site{})
		w.start(i)
	}
	return w
}

func (w *world) at(at int64, do func()) {
	w.seq++
	heap.Push(&w.queue, happening{max(at, w.now), w.seq, do})
}

func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.wrong == "" {
		e := heap.Pop(&w.queue).(happening)
		if w.judged {
			w.length += float64(e.at - w.now)
			w.area += float64(w.inUse()) / float64(w.terms.Units) * float64(e.at-w.now)
		}
		w.now = e.at
		e.do()
	}
	w.now = until
}

// start is a new life of a site; what it used goes on at the dependency to its end.
func (w *world) start(i int) {
	s := w.sites[i]
	used := s.used
	*s = site{rate: 0.99 + 0.02*w.chance.Float64(), life: s.life + 1, used: used, load: s.load}
	s.holder = NewLeaseHolder(w.terms, Owner{fmt.Sprint("n", i), s.life})
	w.wake(i, w.now)
}

func (s *site) clock(now int64) int64 { return int64(s.rate*float64(now)) + 1_000_000*ms }

func (w *world) wake(i int, at int64) {
	s, life := w.sites[i], w.sites[i].life
	at = max(at, w.now)
	if s.woken > 0 && s.woken <= at {
		return
	}
	s.woken = at
	w.at(at, func() {
		if s.life == life && s.woken == at {
			s.woken = 0
			w.step(i)
		}
	})
}

func (w *world) step(i int) {
	s := w.sites[i]
	if w.now < s.until {
		w.wake(i, s.until)
		return
	}
	local := s.clock(w.now)
	allowed := s.holder.Allowed(local)
	if w.past {
		allowed = s.holder.units
	}
	if w.share > 0 {
		allowed = w.share
	}
	for int64(w.count(s)) < allowed && w.count(s) < s.load {
		s.used = append(s.used, w.now+w.chance.Int63n(int64(0.98*float64(w.terms.Hold))))
	}
	send, next := s.holder.Step(local, int64(w.count(s)), int64(max(0, s.load-w.count(s))), s.got)
	s.got = s.got[:0]
	for k := range send {
		if w.hoard {
			send[k].UnitsInUse = w.terms.Units
		}
		w.ask(i, send[k])
	}
	w.check()
	w.wake(i, w.now+int64(min(float64(20*ms), float64(next-local)/s.rate))+1)
}

func (w *world) count(s *site) (n int) {
	kept := s.used[:0]
	for _, end := range s.used {
		if end > w.now {
			kept = append(kept, end)
		}
	}
	s.used = kept
	return len(kept)
}

func (w *world) inUse() (sum int) {
	for _, s := range w.sites {
		sum += w.count(s)
	}
	return sum
}

// check wants that all that is used fits the limit, at this moment.
func (w *world) check() {
	sum := w.inUse()
	w.peak = max(w.peak, sum)
	if int64(sum) > w.terms.Units {
		w.wrong = fmt.Sprintf("%d units of %d in use at %d ms", sum, w.terms.Units, w.now/ms)
	}
}

// ask brings a command to the book and its verdict back.
func (w *world) ask(i int, command Command) {
	life := w.sites[i].life
	way := func(do func()) {
		if w.cut[i] || w.chance.Float64() < w.loss {
			return
		}
		w.at(w.now+w.chance.Int63n(w.late)+1, do)
		if w.chance.Intn(20) == 0 {
			w.at(w.now+w.chance.Int63n(20*w.late)+1, do)
		}
	}
	way(func() {
		if lag := min(MaxTimeStep, int64(0.98*float64(w.now-w.passed))); lag > 0 && w.chance.Intn(2) == 0 { // behind, and slower than the world
			w.table, w.passed = w.table+lag, w.now
		}
		v := w.book.Apply(w.table, &command)
		if l := w.book.Find("calls"); l.LeasedUnits() > l.Units {
			w.wrong = fmt.Sprintf("leases of %d units of %d", l.LeasedUnits(), l.Units)
		}
		way(func() {
			if s := w.sites[i]; s.life == life {
				s.got = append(s.got, v)
				w.wake(i, w.now)
			}
		})
	})
}
