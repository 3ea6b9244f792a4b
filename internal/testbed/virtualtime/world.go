// Package virtualtime is virtual time for the laboratory: moments in order, and resources that jobs share. One seed
// gives one course of events.
package virtualtime

import (
	"container/heap"
	"math"
	"math/rand"
)

// World is a clock and what is to come.
type World struct {
	Now    int64 // ns
	Chance *rand.Rand
	queue  moments
	count  uint64
}

type moment struct {
	at    int64
	order uint64
	do    func()
}

type moments []moment

// push and pop keep a heap. It is not container/heap's, which allocates for each moment: a herd has millions.
func (m *moments) push(x moment) {
	q := append(*m, x)
	*m = q
	i := len(q) - 1
	for up := (i - 1) / 2; i > 0 && x.before(&q[up]); up = (i - 1) / 2 {
		q[i] = q[up]
		i = up
	}
	q[i] = x
}

func (m *moments) pop() moment {
	q := *m
	first, last := q[0], q[len(q)-1]
	q[len(q)-1] = moment{}
	q = q[:len(q)-1]
	*m = q
	if len(q) == 0 {
		return first
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q) {
			break
		}
		if child+1 < len(q) && q[child+1].before(&q[child]) {
			child++
		}
		if !q[child].before(&last) {
			break
		}
		q[i] = q[child]
		i = child
	}
	q[i] = last
	return first
}

func (m *moment) before(o *moment) bool { return m.at < o.at || m.at == o.at && m.order < o.order }

// New starts a world at a moment.
func New(seed, now int64) *World {
	return &World{Now: now, Chance: rand.New(rand.NewSource(seed))}
}

// At has something done at a moment, in the order of asking where moments are equal.
func (w *World) At(at int64, do func()) {
	w.count++
	w.queue.push(moment{max(at, w.Now), w.count, do})
}

// After has something done later.
func (w *World) After(ns int64, do func()) { w.At(w.Now+ns, do) }

// Run goes on until a moment, which is Now at its end.
func (w *World) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		next := w.queue.pop()
		w.Now = next.at
		next.do()
	}
	w.Now = until
}

// Job is work in a resource.
type Job struct {
	finish float64 // of the resource's own progress
	index  int
	done   func()
}

// Resource serves all its jobs at one pace, which depends on how many there are.
type Resource struct {
	world    *World
	pace     func(jobs int) float64 // ns of work that each job gets in a ns
	factor   float64                // on the pace, 0 while it stands still
	progress float64                // ns of work that a job would have had since the start
	at       int64
	jobs     jobs
	version  int
}

type jobs []*Job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].finish < j[b].finish }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a]; j[a].index, j[b].index = a, b }
func (j *jobs) Push(x any)        { job := x.(*Job); job.index = len(*j); *j = append(*j, job) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	last.index = -1
	return last
}

// NewResource is an idle resource.
func NewResource(w *World, pace func(jobs int) float64) *Resource {
	return &Resource{world: w, pace: pace, factor: 1, at: w.Now}
}

// Jobs is how many there are.
func (r *Resource) Jobs() int { return len(r.jobs) }

// Add starts a job of so much work.
func (r *Resource) Add(work float64, done func()) *Job {
	r.catchUp()
	j := &Job{finish: r.progress + work, done: done}
	heap.Push(&r.jobs, j)
	r.plan()
	return j
}

// Drop ends a job unfinished; false says that it had ended.
func (r *Resource) Drop(j *Job) bool {
	if j == nil || j.index < 0 || j.index >= len(r.jobs) || r.jobs[j.index] != j {
		return false
	}
	r.catchUp()
	heap.Remove(&r.jobs, j.index)
	r.plan()
	return true
}

// Clear ends all jobs unfinished.
func (r *Resource) Clear() {
	r.catchUp()
	r.jobs = nil
	r.plan()
}

// Slow multiplies the pace from now on.
func (r *Resource) Slow(factor float64) {
	r.catchUp()
	r.factor = factor
	r.plan()
}

// Touch takes a pace that depends on the time as it is now.
func (r *Resource) Touch() { r.catchUp(); r.plan() }

func (r *Resource) each() float64 { return r.factor * r.pace(len(r.jobs)) }

func (r *Resource) catchUp() {
	if len(r.jobs) > 0 {
		r.progress += float64(r.world.Now-r.at) * r.each()
	}
	r.at = r.world.Now
}

func (r *Resource) plan() {
	r.version++
	if len(r.jobs) == 0 || r.each() <= 0 {
		return
	}
	version := r.version
	wait := math.Ceil(max(0, r.jobs[0].finish-r.progress) / r.each())
	if wait > 1e15 {
		return
	}
	r.world.After(int64(wait), func() {
		if version == r.version {
			r.finish()
		}
	})
}

func (r *Resource) finish() {
	r.catchUp()
	var done []func()
	for len(r.jobs) > 0 && r.jobs[0].finish <= r.progress+1 {
		done = append(done, heap.Pop(&r.jobs).(*Job).done)
	}
	r.plan()
	for _, do := range done {
		do()
	}
}
