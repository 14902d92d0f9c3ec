// Package runner decides what an agent does with an upstream that is driven by
// starts, stops and a lease.
//
// The runner is the only one that starts tasks at its upstream, and never lets
// their room exceed the capacity: the room of a task is charged from before its
// start is sent until the upstream has listed its end, or provably runs nothing any
// more. Tasks belong to the session of the entry that launched them. When a session
// ends, or the entry has not heard of the runner for a while, its tasks are
// stopped, and the entry is not dialled before they are gone: an entry that is
// connected knows that nothing from before is left.
//
// A [Runner] is given events and the time, and does nothing but to return what must
// be done. All times are on the agent's clock, as durations.
package runner

import (
	"slices"
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a runner.
type Limits struct {
	// Silence is how long an entry may not have heard of the runner before its tasks
	// are stopped.
	LivenessTimeout time.Duration
	// Lease is how long the upstream runs tasks without being asked to go on.
	LeaseDuration time.Duration
	// StopRetry is how long a stop may be without an answer before it is sent again.
	StopRetryInterval time.Duration
	// StopsPending is how long a stop may be without an answer before the lease is no
	// longer renewed, so that the task ends in any case.
	MaxStopPending time.Duration
	// StallAfter is how long a task may make no progress.
	StallTimeout time.Duration
	// ReportEvery is the least time between two reports of the load to an entry that
	// gets nothing else, for each entry that is connected.
	LoadReportInterval time.Duration
	// BeatEvery is the longest time between two frames to an entry.
	HeartbeatInterval time.Duration
	// RestBeat is that time for an entry that has had no task here for RestAfter. It may
	// be silent for as much longer.
	IdleHeartbeatInterval time.Duration
	IdleThreshold         time.Duration
}

// clockSkew is by how much the upstream's clock may be slow, as a divisor: 2%.
const clockSkewDivisor = 50

// Life names one run of the upstream: what it ran before is gone.
type Incarnation struct {
	ID     string
	Number int64 // Born grows with each run of the same upstream.
}

// String names the life in messages to entries.
func (l Incarnation) String() string { return l.ID + "#" + strconv.FormatInt(l.Number, 36) }

// same reports whether two lives are one. A list of runs does not name the
// upstream, so that an empty ID stands for any.
func (l Incarnation) matches(o Incarnation) bool {
	return l.Number == o.Number && (l.ID == o.ID || l.ID == "" || o.ID == "")
}

// Upstream is an announcement.
type Announcement struct {
	Incarnation Incarnation
	Service     string
	Capacity    messenger.Resources
	Labels      []string
	Leaving     bool
	Sequence    int64 // Sequence grows with each announcement of a life.
}

// Runner is the state of one agent.
type Runner struct {
	limits      Limits
	incarnation Incarnation
	upstream    *Announcement // upstream is the latest announcement of the life, or nil.
	// answered means that the upstream has listed its runs in this life.
	answered bool
	// silent means that the upstream does not answer.
	silent      bool
	failedPolls int // misses counts the questions without an answer since the last list.
	// closing means that the agent shuts down and takes nothing new.
	closing   bool
	leaseEnds time.Duration // leaseEnds is when everything at the upstream has ended without a renewal.
	lastEnd   int64         // seen is the number of the latest end that was taken note of.
	sessions  map[messenger.Peer]*session
	tasks     map[messenger.TaskRef]*task
	waiting   []*task // waiting has the tasks that have not started, in the order of urgency.
	// strays are runs that the upstream lists and that no session owns.
	orphans map[messenger.TaskRef]uint64
	used    messenger.Resources
	health  health
	// listedAt is when the latest list came; fresh means that it came soon after the one
	// before.
	listedAt      time.Duration
	recentListing bool
	// falls counts how often the upstream has fallen silent or ended, up to fellAt, with
	// less than trustAfter between.
	outages    int
	lastOutage time.Duration
	// blamed has the jobs whose failures were counted last.
	countedJobs [8]string
	nextCounted int
	out         Output
}

// New returns a runner that knows no upstream.
func New(l Limits) *Runner {
	return &Runner{
		limits:   l,
		sessions: make(map[messenger.Peer]*session),
		tasks:    make(map[messenger.TaskRef]*task),
		orphans:  make(map[messenger.TaskRef]uint64),
		health:   newHealth(),
	}
}

// Output is what the caller must do.
type Output struct {
	Starts    []StartCall
	Stops     []StopCall
	Sends     []Send
	Closes    []messenger.Peer // Closes are sessions whose connection must be closed.
	Decisions []Decision
}

// StartCall is a start that must be sent to the upstream.
type StartCall struct {
	Incarnation Incarnation
	Task        messenger.TaskRef
	Run         uint64
	Payload     string
}

// StopCall is a stop that must be sent to the upstream.
type StopCall struct {
	Incarnation Incarnation
	Task        messenger.TaskRef
	Run         uint64
}

// Send is a frame for an entry.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// Decision is a decision that is worth a line in the log.
type Decision struct {
	Event  string // Event is in kebab case.
	Task   messenger.TaskRef
	Run    uint64
	Reason string
	Age    time.Duration // Age is that of the information that decided.
}

// state is where a task stands.
type state string

const (
	stateWaiting  state = "waiting"
	stateStarting state = "starting" // stateStarting means that a start has no answer yet.
	stateRunning  state = "running"
	stateStopping state = "stopping" // stateStopping means that a stop has no answer yet.
	stateStopped  state = "stopped"  // stateStopped means that the end is not listed yet.
)

type task struct {
	messenger.Launch
	session    *session
	state      state
	kind       messenger.EndKind // kind is what the end is reported as, if the task is stopped.
	startedAt  time.Duration     // since is when the start was sent.
	stoppedAt  time.Duration     // stopAt is when the first stop was sent.
	retryAt    time.Duration     // retryAt is when a stop is sent again.
	percent    int               // percent is the latest progress.
	progressAt time.Duration     // progress is when the progress last changed.
}

// Announce takes an announcement. It reports whether it was taken: one of a life or
// with a sequence that is older than what is known is not.
func (r *Runner) Announce(now time.Duration, u Announcement) bool {
	known := r.upstream != nil && r.upstream.Incarnation == u.Incarnation
	switch {
	case known && u.Sequence < r.upstream.Sequence:
		return false
	case !known && u.Incarnation.Number < r.incarnation.Number:
		return false
	}
	if !u.Incarnation.matches(r.incarnation) {
		r.startIncarnation(now, u.Incarnation)
	}
	r.incarnation.ID = u.Incarnation.ID
	u.Leaving = u.Leaving || known && r.upstream.Leaving
	changed := !known || u.Leaving != r.upstream.Leaving || u.Capacity != r.upstream.Capacity || u.Service != r.upstream.Service
	r.upstream = &u
	if changed {
		r.logDecision(Decision{Event: "upstream-announced", Reason: string(r.State(now))})
		if u.Leaving {
			r.returnWaiting(now)
		}
		r.requestReports()
	}
	return true
}

// Leave takes the end of an upstream.
func (r *Runner) Leave(now time.Duration, id string) {
	if r.upstream == nil || r.upstream.Incarnation.ID != id {
		return
	}
	r.logDecision(Decision{Event: "upstream-left"})
	r.upstream = nil
	r.endAll(now)
	r.requestReports()
}

// begin notes another life of the upstream. Nothing of an earlier one runs.
func (r *Runner) startIncarnation(now time.Duration, l Incarnation) {
	if r.incarnation != (Incarnation{}) {
		r.logDecision(Decision{Event: "upstream-restarted"})
		if !r.silent {
			r.recordOutage(now)
		}
	}
	r.endAll(now)
	r.incarnation = l
	r.lastEnd = 0
	r.answered = false
	r.upstream = nil
	r.health = newHealth()
	clear(r.orphans)
	r.requestReports()
}

// loseAll ends all tasks: the upstream runs nothing any more.
func (r *Runner) endAll(now time.Duration) {
	for _, t := range r.sortedTasks() {
		r.end(now, t, t.lostKind())
	}
}

// lost returns what the end of a task is reported as when the upstream runs nothing
// any more.
func (t *task) lostKind() messenger.EndKind {
	switch {
	case t.kind != "":
		return t.kind
	case t.state == stateWaiting:
		return messenger.EndReturned
	}
	return messenger.EndLost
}

// returnWaiting gives back what has not started.
func (r *Runner) returnWaiting(now time.Duration) {
	for _, t := range slices.Clone(r.waiting) {
		r.end(now, t, messenger.EndReturned)
	}
}

// Close makes the runner take nothing new, for the shutdown of the agent.
func (r *Runner) Close(now time.Duration) {
	r.closing = true
	r.returnWaiting(now)
	r.requestReports()
}

// Idle reports whether no task is left.
func (r *Runner) Idle() bool { return len(r.tasks) == 0 }

// Counts returns the number of tasks that run and that wait, and the room in use.
func (r *Runner) Counts() (running, waiting int, used messenger.Resources) {
	return len(r.tasks) - len(r.waiting), len(r.waiting), r.used
}

// State returns how the runner stands to its upstream.
func (r *Runner) State(now time.Duration) messenger.RunnerState {
	switch {
	case r.upstream == nil || !r.answered || r.silent || len(r.orphans) > 0:
		return messenger.RunnerAbsent
	case r.upstream.Leaving || r.closing:
		return messenger.RunnerLeaving
	}
	return r.health.state(now)
}

func (r *Runner) logDecision(d Decision) { r.out.Decisions = append(r.out.Decisions, d) }

// sorted returns the tasks in a fixed order.
func (r *Runner) sortedTasks() []*task {
	tasks := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.Task.Compare(b.Task) })
	return tasks
}
