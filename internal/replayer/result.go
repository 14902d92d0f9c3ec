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
	// slowdownFactor times the run time of its longest task, plus the latency allowance, is
	// the objective of a job.
	slowdownFactor = 1.6
	// An answer after the objective but within lateFactor times the objective is late, and
	// earns the share lateValue of the job's value. A later one earns nothing.
	lateFactor = 3
	lateValue  = 0.2
	// resubmitAfter is the delay before a caller resubmits a job after its connection broke.
	resubmitAfter = 1300 * time.Millisecond
	// maxAttempts is the number of attempts that each task has.
	maxAttempts = 4
	windowSize  = 2 * time.Second
	// balancerDelay is how long an entry must be unready before the load balancer skips it.
	balancerDelay = 2 * time.Second
)

// callerJob is a job and the state of the caller that submits it.
type callerJob struct {
	kind           Kind
	id             string
	resources      messenger.Resources
	runTimes       []time.Duration // runTimes holds the run time of each task on a healthy upstream.
	declared       time.Duration
	arrived        time.Duration
	longestTask    time.Duration
	alwaysFails    bool
	crash          *Fault // crash is set if the first task crashes each upstream that starts it.
	crashes        int    // crashes counts the upstreams that the job has crashed.
	callerLeft     bool
	done           bool
	entry          *entry
	dataCentre     int // dataCentre is the index of the caller's data centre, if it is limited to that.
	answer         assigner.Answer
	earned         float64
	refusedFree    bool // refusedFree is whether it was rejected while upstreams had free capacity for it.
	completed      int  // completed counts its tasks that are done.
	firstEntry     int  // firstEntry is the index of the first entry that received the job.
	job            assigner.Job
	starts         int  // starts counts the starts of its tasks.
	onlyRejections bool // onlyRejections is true while every answer has been a rejection.
	retries        int  // retries counts the caller's retries after rejections.
	running        map[messenger.TaskRef]int
}

// Result holds the outcomes that callers saw, and the costs.
type Result struct {
	Offered, Earned           float64
	Jobs, InTime, Late        int
	Rejected, GivenUp, Failed int
	Unanswered                int // Unanswered counts the jobs without an answer whose callers have stayed.
	ByKind                    map[string]Value
	KindWindows               map[KindWindow]Value
	Windows                   []Value
	ByEntry                   []Value // ByEntry is indexed by the first entry that received a job.
	// Retried counts the rejected callers that retried after the time in their answer, and
	// RetriedInTime those whose job was then answered in time, in any of their retries.
	Retried, RetriedInTime int
	RejectedBy             []int // RejectedBy counts the rejections in each window.
	// RejectedDespiteCapacity counts the jobs that were rejected although they could still be
	// in time and healthy upstreams had free capacity for all of their tasks and for all
	// pending tasks.
	RejectedDespiteCapacity int
	Crashes                 int // Crashes counts the crashes of upstreams that tasks caused.
	MaxJobCrashes           int // MaxJobCrashes is the highest number of crashes that one job caused.
	Violations              []string
	Starts                  int
	Wakeups                 int   // Wakeups counts the events that processes handled.
	Frames                  int   // Frames counts the messages between entries and agents.
	EntryBytes              []int // EntryBytes holds the bytes that each entry sent and received.
	Groups                  Groups
	Launches                int // Launches counts the launches that entries sent.
	EndedTasks              int // EndedTasks counts the runs that upstreams completed.
	// HeldHopeless counts the jobs that were given up at their deadline although one of their
	// tasks was neither done nor running then.
	HeldHopeless int
	Reasons      map[string]int // Reasons counts the answers other than success, by outcome and reason.
}

// Value holds the value of the jobs that callers submitted and how much of it their
// answers earned.
type Value struct{ Offered, Earned float64 }

// EarnedRatio returns the earned share of the offered value.
func (s Value) EarnedRatio() float64 {
	if s.Offered == 0 {
		return 1
	}
	return s.Earned / s.Offered
}

// EarnedRatio returns the earned share of the offered value.
func (r *Result) EarnedRatio() float64 { return Value{r.Offered, r.Earned}.EarnedRatio() }

// LowestWindowRatio returns the lowest earned ratio of all windows of two seconds.
func (r *Result) LowestWindowRatio() float64 {
	worst := 1.0
	for _, s := range r.Windows {
		worst = min(worst, s.EarnedRatio())
	}
	return worst
}

// arrive draws a job of a kind and submits it.
func (w *world) arrive(k Kind) {
	r := w.arrivalRandom
	c := &callerJob{
		kind: k, id: fmt.Sprintf("%016x", r.Uint64()), arrived: w.now, onlyRejections: true,
		resources: messenger.Resources{MilliCPU: int64(drawLogNormal(r, float64(k.MilliCPU), 0.2, 1.45)), MemoryBytes: 64 << 20},
		running:   make(map[messenger.TaskRef]int),
	}
	mean := drawLogNormal(r, float64(k.RunTime), 0.4, 4)
	for range max(1, int(drawLogNormal(r, k.Tasks, 0.4, 4)+0.5)) {
		took := time.Duration(mean * (1 + 0.15*(2*r.Float64()-1)))
		c.runTimes = append(c.runTimes, took)
		c.longestTask = max(c.longestTask, took)
	}
	c.declared = time.Duration(mean * (1 + 0.4*(2*r.Float64()-1)))
	for _, f := range w.activeFaults(FaultFailingJobs, k.Name) {
		c.alwaysFails = c.alwaysFails || r.Float64() < f.Factor
	}
	for _, f := range w.activeFaults(FaultCrashingJobs, k.Name) {
		if r.Float64() < f.Factor {
			c.crash = &f
		}
	}
	w.jobs[c.id] = c
	w.result.Jobs++
	for _, f := range w.activeFaults(FaultCallersLeave, k.Name) {
		if r.Float64() < f.Factor {
			w.after(f.Delay, func() { w.callerLeft(c) })
		}
	}
	c.job = assigner.Job{
		ID: c.id, Queue: k.Name, Service: service, Priority: k.Priority, SlowdownFactor: slowdownFactor, LatencyAllowance: k.LatencyAllowance,
		CallerTimeout: k.CallerTimeout, MaxAttempts: maxAttempts,
		Steps: []assigner.Step{{Count: len(c.runTimes), Resources: c.resources, DeclaredRunTime: c.declared}},
	}
	for _, f := range w.activeFaults(FaultHotKey, k.Name) {
		if r.Float64() < f.Factor {
			c.job.Steps[0].Rack = hotRack
		}
	}
	c.dataCentre = w.drawDataCentre()
	w.submitJob(c)
}

func (w *world) submit(c *callerJob) {
	if c.done || c.callerLeft {
		return
	}
	reachable := w.reachableEntries(c)
	at := w.pickEntry(reachable)
	for range reachable {
		if e := reachable[at]; !e.down && (e.unreadySince == 0 || w.now-e.unreadySince < balancerDelay) {
			break
		}
		at = (at + 1) % len(reachable)
	}
	e := reachable[at]
	if e.down {
		w.resubmit(c)
		return
	}
	if c.entry == nil {
		c.firstEntry = e.index
	}
	c.entry = e
	w.after(2*time.Millisecond, func() {
		e.run(func() {
			e.lastTicket++
			j := c.job
			j.Ticket = e.lastTicket
			j.CallerTimeout = c.arrived + c.timeout() - w.now
			e.tickets[j.Ticket] = c
			e.assigner.Submit(w.now, j)
		})
		if e.down {
			w.resubmit(c)
		}
	})
}

// pickEntry returns the index in the given entries of the one that the load balancer chooses.
func (w *world) pickEntry(entries []*entry) int {
	if len(w.pattern.Shares) == 0 {
		return w.random.IntN(len(entries))
	}
	shares := make([]float64, len(entries))
	for i, e := range entries {
		shares[i] = w.pattern.Shares[e.index]
	}
	return pick(shares, w.random.Float64())
}

// pick returns the index of the share that contains a position, from 0 to 1, in all shares.
func pick(shares []float64, position float64) int {
	var total float64
	for _, s := range shares {
		total += s
	}
	at := position * total
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// resubmit submits a job again after its connection broke.
func (w *world) resubmit(c *callerJob) {
	// The interrupted request has no answer, so not every answer is a rejection.
	c.onlyRejections = false
	if w.now+resubmitAfter < c.arrived+c.timeout() {
		w.after(resubmitAfter, func() { w.submit(c) })
	}
}

func (w *world) callerLeft(c *callerJob) {
	if c.done {
		return
	}
	c.callerLeft = true
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

func (c *callerJob) objective() time.Duration {
	return time.Duration(slowdownFactor*float64(c.longestTask)) + c.kind.LatencyAllowance
}

// value returns the value of the job, which grows with its work.
func (c *callerJob) value() float64 {
	work := float64(len(c.runTimes)) * c.longestTask.Seconds() / (c.kind.Tasks * c.kind.RunTime.Seconds())
	return c.kind.Value * min(4, 0.3+0.7*work)
}

func (w *world) answered(c *callerJob, a assigner.Answer) {
	if c.done {
		w.violation("job %s has two answers", c.id)
	}
	took := w.now - c.arrived
	c.answer = a
	w.observeAnswer(c)
	switch a.Outcome {
	case assigner.OutcomeRejected:
		c.done = true
		w.rejected(c, a)
		return
	case assigner.OutcomeGivenUp, assigner.OutcomeCancelled:
		w.result.GivenUp++
		c.done = true
		c.onlyRejections = false
		return
	case assigner.OutcomeFailed:
		w.result.Failed++
		if !c.alwaysFails || c.crash != nil {
			c.done = true
			c.onlyRejections = false
			return
		}
	}
	c.done, c.onlyRejections = true, false
	if c.retries > 0 {
		if took <= c.objective() {
			w.result.RetriedInTime++
		}
		return
	}
	earned := 0.0
	switch {
	case took <= c.objective():
		earned = c.value()
		w.result.InTime++
	case took <= lateFactor*c.objective():
		earned = c.value() * lateValue
		w.result.Late++
	}
	c.earned = earned
	w.addValue(c, 0, earned)
}

// maxRetries is how often a rejected caller retries.
const maxRetries = 3

// rejected handles a rejection. A caller that follows Retry-After submits a new job.
func (w *world) rejected(c *callerJob, a assigner.Answer) {
	w.result.Rejected++
	*elementAt(&w.result.RejectedBy, int(w.now/windowSize))++
	if w.now+c.longestTask <= c.arrived+c.objective() && w.hasCapacity(c) {
		w.result.RejectedDespiteCapacity++
	}
	if !w.pattern.FollowRetryAfter || c.retries == maxRetries {
		return
	}
	w.after(a.RetryAfter, func() {
		next := *c
		next.retries++
		next.id = fmt.Sprintf("%s-%d", c.id, next.retries)
		next.done, next.callerLeft, next.onlyRejections = false, false, true
		next.arrived, next.starts, next.running = w.now, 0, make(map[messenger.TaskRef]int)
		next.job.ID = next.id
		w.jobs[next.id] = &next
		if next.retries == 1 {
			w.result.Retried++
		}
		w.submitJob(&next)
	})
}

// hasCapacity reports whether healthy upstreams have free capacity for all tasks of a job
// in addition to the tasks that are pending at entries.
func (w *world) hasCapacity(c *callerJob) bool {
	remaining := len(c.runTimes)
	for _, e := range w.entries {
		_, pending := e.assigner.Counts()
		remaining += pending
	}
	for _, g := range w.agents {
		u := g.upstream
		if !g.isHealthy() {
			continue
		}
		free := u.capacity
		for _, r := range u.runs {
			free = free.Sub(r.resources)
		}
		for ; remaining > 0 && c.resources.Fits(free); remaining-- {
			free = free.Sub(c.resources)
		}
	}
	return remaining == 0
}

// addValue adds to the offered and the earned value.
func (w *world) addValue(c *callerJob, offered, earned float64) {
	r := &w.result
	if r.ByKind == nil {
		r.ByKind = make(map[string]Value)
		r.KindWindows = make(map[KindWindow]Value)
	}
	add := func(s Value) Value { return Value{s.Offered + offered, s.Earned + earned} }
	r.Offered += offered
	r.Earned += earned
	r.ByKind[c.kind.Name] = add(r.ByKind[c.kind.Name])
	key := KindWindow{Kind: c.kind.Name, Window: int(c.arrived / windowSize)}
	r.KindWindows[key] = add(r.KindWindows[key])
	for _, s := range []*Value{elementAt(&r.ByEntry, c.firstEntry), elementAt(&r.Windows, int(c.arrived/windowSize))} {
		*s = add(*s)
	}
}

// elementAt returns a pointer to the element of a slice at an index, extending the slice
// if it is shorter.
func elementAt[T any](s *[]T, i int) *T {
	if missing := i + 1 - len(*s); missing > 0 {
		*s = append(*s, make([]T, missing)...)
	}
	return &(*s)[i]
}

// started checks that a start exceeds no capacity and that no task runs twice.
func (w *world) started(u *upstream, r *run) {
	c := w.jobs[r.ref.Job]
	c.starts++
	w.result.Starts++
	var used messenger.Resources
	for _, other := range u.runs {
		used = used.Add(other.resources)
	}
	if !used.Fits(u.announced) {
		w.violation("upstream %d runs %d of %d thousandths of a core", u.index, used.MilliCPU, u.announced.MilliCPU)
	}
	c.running[r.ref]++
	if c.running[r.ref] > 1 {
		w.violation("task %v runs twice", r.ref)
	}
}

func (w *world) stopped(r *run) { w.jobs[r.ref.Job].running[r.ref]-- }

// finish adds the offered value of all jobs, and checks that no task of a rejected job
// was started.
func (w *world) finish() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		c := w.jobs[id]
		if !c.callerLeft && c.retries == 0 && c.crash == nil {
			w.addValue(c, c.value(), 0)
			w.addOutcome(c)
		}
		if !c.done && !c.callerLeft {
			w.result.Unanswered++
		}
		if c.done && c.onlyRejections && c.starts > 0 {
			w.violation("job %s was rejected, and %d of its tasks started", c.id, c.starts)
		}
	}
	w.addLargest()
}

// KindWindow is a kind of job in a window.
type KindWindow struct {
	Kind   string
	Window int
}
