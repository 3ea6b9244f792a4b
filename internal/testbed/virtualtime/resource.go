package virtualtime

import (
	"container/heap"
	"math"
)

// maxWait is the longest wait for the end of a job that is scheduled, in ns: some 11 days.
const maxWait = 1e15

// Job is work that a resource carries out.
type Job struct {
	finishAt float64 // progress of the resource at which it is complete
	index    int     // in the heap, -1 once it ended
	done     func()
}

// Resource serves all its jobs at one rate, which depends on how many there are.
type Resource struct {
	simulator *Simulator
	rate      func(jobs int) float64 // ns of work that each job gets in a ns
	factor    float64                // of the rate, 0 while the resource is stopped
	progress  float64                // ns of work that a job would have had since the start
	updatedAt int64
	jobs      jobs
	version   int // of the schedule: a newer one voids events of older ones
}

// jobs is a heap by finishAt.
type jobs []*Job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].finishAt < j[b].finishAt }

func (j jobs) Swap(a, b int) {
	j[a], j[b] = j[b], j[a]
	j[a].index = a
	j[b].index = b
}

func (j *jobs) Push(x any) {
	job := x.(*Job)
	job.index = len(*j)
	*j = append(*j, job)
}

func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	last.index = -1
	return last
}

// NewResource returns an idle resource. The rate is what each of so many jobs gets: ns of work in a ns.
func NewResource(s *Simulator, rate func(jobs int) float64) *Resource {
	return &Resource{simulator: s, rate: rate, factor: 1, updatedAt: s.Now}
}

// Jobs returns how many jobs are served.
func (r *Resource) Jobs() int { return len(r.jobs) }

// Add starts a job of so many ns of work; done is called once it is complete.
func (r *Resource) Add(work float64, done func()) *Job {
	r.advance()
	j := &Job{finishAt: r.progress + work, done: done}
	heap.Push(&r.jobs, j)
	r.schedule()
	return j
}

// Cancel ends a job without calling done; it returns false where the job had ended.
func (r *Resource) Cancel(j *Job) bool {
	if j == nil || j.index < 0 || j.index >= len(r.jobs) || r.jobs[j.index] != j {
		return false
	}
	r.advance()
	heap.Remove(&r.jobs, j.index)
	r.schedule()
	return true
}

// Clear cancels all jobs.
func (r *Resource) Clear() {
	r.advance()
	r.jobs = nil
	r.schedule()
}

// SetFactor multiplies the rate from now on.
func (r *Resource) SetFactor(factor float64) {
	r.advance()
	r.factor = factor
	r.schedule()
}

// Update reads the rate anew, where it depends on the time.
func (r *Resource) Update() {
	r.advance()
	r.schedule()
}

func (r *Resource) ratePerJob() float64 { return r.factor * r.rate(len(r.jobs)) }

func (r *Resource) advance() {
	if len(r.jobs) > 0 {
		r.progress += float64(r.simulator.Now-r.updatedAt) * r.ratePerJob()
	}
	r.updatedAt = r.simulator.Now
}

func (r *Resource) schedule() {
	r.version++
	if len(r.jobs) == 0 || r.ratePerJob() <= 0 {
		return
	}
	version := r.version
	wait := math.Ceil(max(0, r.jobs[0].finishAt-r.progress) / r.ratePerJob())
	if wait > maxWait {
		return
	}
	r.simulator.After(int64(wait), func() {
		if version == r.version {
			r.complete()
		}
	})
}

func (r *Resource) complete() {
	r.advance()
	var done []func()
	for len(r.jobs) > 0 && r.jobs[0].finishAt <= r.progress+1 {
		done = append(done, heap.Pop(&r.jobs).(*Job).done)
	}
	r.schedule()
	for _, do := range done {
		do()
	}
}
