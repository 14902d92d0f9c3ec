package replayer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// stretch is how often a job may take its longest task to be in time.
	stretch = 1.6
	// lateFactor and lateWorth are up to how many objectives an answer is late, and the
	// share that it is worth then.
	lateFactor = 3
	lateWorth  = 0.2
	// resubmitAfter is how long a caller waits to send a job again whose connection broke.
	resubmitAfter = 1300 * time.Millisecond
	// maxAttempts is how often a task may fail.
	maxAttempts = 4
	windowSize  = 2 * time.Second
	// balancerNotice is how long an entry must not be ready until callers are sent elsewhere.
	balancerNotice = 2 * time.Second
)

// call is a caller's job.
type call struct {
	kind     Kind
	id       string
	room     messenger.Resources
	takes    []time.Duration // takes has the run time of each task on a sound upstream.
	declared time.Duration
	arrived  time.Duration
	longest  time.Duration
	hopeless bool
	left     bool
	done     bool
	entry    *entry
	first    int // first is the entry that the job came to first.
	job      assigner.Job
	runs     int  // runs counts the starts of its tasks.
	rejected bool // rejected means that every answer was a rejection.
	returns  int  // returns counts how often the caller has come back after a rejection.
	active   map[messenger.TaskRef]int
}

// Result is what callers saw.
type Result struct {
	Offered, Earned           float64
	Jobs, InTime, Late        int
	Rejected, GivenUp, Failed int
	ByKind                    map[string]Value
	Windows                   []Value
	ByEntry                   []Value // ByEntry has the shares of the entries that jobs came to first.
	// Returned counts the rejected callers that came back when they were told to, and
	// Served those of them that were in time then, or the next times.
	Retried, RetriedInTime int
	RejectedBy             []int // RejectedBy counts the rejections in each window.
	// RejectedInVain counts the jobs that were rejected while sound upstreams had room for
	// all of their tasks, and all that waited, and they could still be in time.
	RejectedDespiteCapacity int
	Violations              []string
	Starts                  int
	Wakeups                 int   // Wakeups counts how often a process has had something to do.
	Frames                  int   // Frames counts the messages between entries and agents.
	EntryBytes              []int // EntryBytes has the bytes that each entry has sent and received.
}

// Share is what was earned of what was owed.
type Value struct{ Offered, Earned float64 }

// Worth returns the share of the worth that was earned.
func (s Value) EarnedRatio() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.Earned / s.Offered
}

// Worth returns the share of the worth that was earned.
func (r *Result) EarnedRatio() float64 { return Value{r.Offered, r.Earned}.EarnedRatio() }

// WorstWindow returns the share that was earned in the worst two seconds.
func (r *Result) LowestWindowRatio() float64 {
	worst := 1.0
	for _, s := range r.Windows {
		worst = min(worst, s.EarnedRatio())
	}
	return worst
}

// arrive makes a job of a kind and submits it.
func (w *world) arrive(k Kind) {
	r := w.arriving
	c := &call{
		kind: k, id: fmt.Sprintf("%016x", r.Uint64()), arrived: w.now, rejected: true,
		room:   messenger.Resources{MilliCPU: int64(spread(r, float64(k.MilliCPU), 0.2, 1.45)), MemoryBytes: 64 << 20},
		active: make(map[messenger.TaskRef]int),
	}
	mean := spread(r, float64(k.RunTime), 0.4, 4)
	for range max(1, int(spread(r, k.Tasks, 0.4, 4)+0.5)) {
		took := time.Duration(mean * (1 + 0.15*(2*r.Float64()-1)))
		c.takes = append(c.takes, took)
		c.longest = max(c.longest, took)
	}
	c.declared = time.Duration(mean * (1 + 0.4*(2*r.Float64()-1)))
	for _, f := range w.active(FaultFailingJobs, k.Name) {
		c.hopeless = c.hopeless || r.Float64() < f.Factor
	}
	w.jobs[c.id] = c
	w.result.Jobs++
	for _, f := range w.active(FaultCallersLeave, k.Name) {
		if r.Float64() < f.Factor {
			w.after(f.Delay, func() { w.leave(c) })
		}
	}
	c.job = assigner.Job{
		ID: c.id, Queue: k.Name, Service: service, Priority: k.Priority, SlowdownFactor: stretch, LatencyAllowance: k.LatencyAllowance,
		CallerTimeout: k.CallerTimeout, MaxAttempts: maxAttempts,
		Steps: []assigner.Step{{Count: len(c.takes), Resources: c.room, DeclaredRunTime: c.declared}},
	}
	w.deliver(c)
}

func (w *world) submit(c *call) {
	if c.done || c.left {
		return
	}
	e := w.entries[w.pick()]
	for range w.entries {
		if !e.down && (e.unready == 0 || w.now-e.unready < balancerNotice) {
			break
		}
		e = w.entries[(e.index+1)%len(w.entries)]
	}
	if e.down {
		w.resubmit(c)
		return
	}
	if c.entry == nil {
		c.first = e.index
	}
	c.entry = e
	w.after(2*time.Millisecond, func() {
		e.run(func() {
			e.ticket++
			j := c.job
			j.Ticket = e.ticket
			j.CallerTimeout = c.arrived + c.kind.CallerTimeout - w.now
			e.tickets[j.Ticket] = c
			e.assigner.Submit(w.now, j)
		})
		if e.down {
			w.resubmit(c)
		}
	})
}

// pick returns the entry that the balancer chooses.
func (w *world) pick() int {
	shares := w.pattern.Shares
	if len(shares) == 0 {
		return w.random.IntN(len(w.entries))
	}
	var total float64
	for _, s := range shares {
		total += s
	}
	at := w.random.Float64() * total
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// resubmit sends a job again whose connection broke.
func (w *world) resubmit(c *call) {
	// The first request has no answer, so that not all of them are rejections.
	c.rejected = false
	if w.now+resubmitAfter < c.arrived+c.kind.CallerTimeout {
		w.after(resubmitAfter, func() { w.submit(c) })
	}
}

func (w *world) leave(c *call) {
	if c.done {
		return
	}
	c.left = true
	e := c.entry
	if e == nil {
		return
	}
	e.run(func() {
		for ticket, other := range e.tickets {
			if other == c {
				delete(e.tickets, ticket)
				e.assigner.CallerLeft(w.now, c.id, ticket)
			}
		}
	})
}

func (c *call) objective() time.Duration {
	return time.Duration(stretch*float64(c.longest)) + c.kind.LatencyAllowance
}

// worth returns what the job is worth: more for one with more work.
func (c *call) worth() float64 {
	work := float64(len(c.takes)) * c.longest.Seconds() / (c.kind.Tasks * c.kind.RunTime.Seconds())
	return c.kind.Value * min(4, 0.3+0.7*work)
}

func (w *world) answered(c *call, a assigner.Answer) {
	if c.done {
		w.breach("job %s has two answers", c.id)
	}
	took := w.now - c.arrived
	switch a.Outcome {
	case assigner.OutcomeRejected:
		c.done = true
		w.refused(c, a)
		return
	case assigner.OutcomeGivenUp, assigner.OutcomeCancelled:
		w.result.GivenUp++
		c.done = true
		c.rejected = false
		return
	case assigner.OutcomeFailed:
		w.result.Failed++
		if !c.hopeless {
			c.done = true
			c.rejected = false
			return
		}
	}
	c.done, c.rejected = true, false
	if c.returns > 0 {
		if took <= c.objective() {
			w.result.RetriedInTime++
		}
		return
	}
	earned := 0.0
	switch {
	case took <= c.objective():
		earned = c.worth()
		w.result.InTime++
	case took <= lateFactor*c.objective():
		earned = c.worth() * lateWorth
		w.result.Late++
	}
	w.credit(c, 0, earned)
}

// maxReturns is how often a rejected caller comes back.
const maxReturns = 3

// refused takes a rejection. A caller that follows it comes back with another job.
func (w *world) refused(c *call, a assigner.Answer) {
	w.result.Rejected++
	*slot(&w.result.RejectedBy, int(w.now/windowSize))++
	if w.now+c.longest <= c.arrived+c.objective() && w.room(c) {
		w.result.RejectedDespiteCapacity++
	}
	if !w.pattern.FollowRetryAfter || c.returns == maxReturns {
		return
	}
	w.after(a.RetryAfter, func() {
		next := *c
		next.returns++
		next.id = fmt.Sprintf("%s-%d", c.id, next.returns)
		next.done, next.left, next.rejected = false, false, true
		next.arrived, next.runs, next.active = w.now, 0, make(map[messenger.TaskRef]int)
		next.job.ID = next.id
		w.jobs[next.id] = &next
		if next.returns == 1 {
			w.result.Retried++
		}
		w.deliver(&next)
	})
}

// room reports whether sound upstreams have room for all tasks of a job, beside those
// that wait at entries.
func (w *world) room(c *call) bool {
	left := len(c.takes)
	for _, e := range w.entries {
		_, pending := e.assigner.Counts()
		left += pending
	}
	for _, g := range w.agents {
		u := g.upstream
		if u.down || u.cut || u.leaving || u.hangs || u.failing > 0 || u.speed > 1 || g.down || g.frozen {
			continue
		}
		free := u.capacity
		for _, r := range u.runs {
			free = free.Sub(r.room)
		}
		for ; left > 0 && c.room.Fits(free); left-- {
			free = free.Sub(c.room)
		}
	}
	return left == 0
}

// credit adds to what is owed or earned.
func (w *world) credit(c *call, owed, earned float64) {
	r := &w.result
	if r.ByKind == nil {
		r.ByKind = make(map[string]Value)
	}
	add := func(s Value) Value { return Value{s.Offered + owed, s.Earned + earned} }
	r.Offered += owed
	r.Earned += earned
	r.ByKind[c.kind.Name] = add(r.ByKind[c.kind.Name])
	for _, s := range []*Value{slot(&r.ByEntry, c.first), slot(&r.Windows, int(c.arrived/windowSize))} {
		*s = add(*s)
	}
}

// slot returns the element of a slice at an index, up to which the slice is extended.
func slot[T any](s *[]T, i int) *T {
	if missing := i + 1 - len(*s); missing > 0 {
		*s = append(*s, make([]T, missing)...)
	}
	return &(*s)[i]
}

// started checks the promises about a start.
func (w *world) started(u *upstream, r *run) {
	c := w.jobs[r.ref.Job]
	c.runs++
	w.result.Starts++
	var used messenger.Resources
	for _, other := range u.runs {
		used = used.Add(other.room)
	}
	if !used.Fits(u.capacity) {
		w.breach("upstream %d runs %d of %d thousandths of a core", u.index, used.MilliCPU, u.capacity.MilliCPU)
	}
	c.active[r.ref]++
	if c.active[r.ref] > 1 {
		w.breach("task %v runs twice", r.ref)
	}
}

func (w *world) stopped(r *run) { w.jobs[r.ref.Job].active[r.ref]-- }

// finish sums up, and checks the promises that hold at the end.
func (w *world) finish() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		c := w.jobs[id]
		if !c.left && c.returns == 0 {
			w.credit(c, c.worth(), 0)
		}
		if c.done && c.rejected && c.runs > 0 {
			w.breach("job %s was rejected, and %d of its tasks started", c.id, c.runs)
		}
	}
}
