// Package runner decides what an agent does with an upstream that is driven by
// starts, stops and a lease.
//
// Only the runner starts tasks on its upstream, and it never lets their resources
// exceed the capacity: the resources of a task are charged from before its start is
// sent until the upstream has listed its end, or provably runs nothing. Tasks belong
// to the session of the entry that launched them. When a session ends, or the entry
// has received nothing from the runner for the liveness timeout, its tasks are stopped,
// and the entry is not dialled before they have ended: an entry that is connected
// knows that none of its earlier tasks is left.
//
// A [Runner] does no I/O: it is given events and the time, and returns the actions to
// carry out. All times are on the agent's clock, as durations.
package runner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a runner.
type Limits struct {
	// LivenessTimeout is how long an entry may go without receiving from the runner
	// before its tasks are stopped.
	LivenessTimeout time.Duration
	// ContactExpiry is how long after the latest contact of an entry its runs have ended. It is
	// shorter than the time after which a caller submits a job, which that entry may have given
	// up since, to another one.
	ContactExpiry time.Duration
	// LeaseDuration is how long the upstream runs tasks without a renewal, if polls have been
	// lost or late recently. ShortLeaseDuration is the same otherwise: the tasks of an
	// upstream that has crashed wait for the end of the lease.
	LeaseDuration      time.Duration
	ShortLeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that an earlier process of the agent may have
	// got from the upstream.
	MaxLeaseDuration time.Duration
	// StopRetryInterval is the time after which an unanswered stop is sent again.
	StopRetryInterval time.Duration
	// MaxStopPending is how long a stop may remain unanswered before the lease is no
	// longer renewed, so that the task ends in any case.
	MaxStopPending time.Duration
	// StallTimeout is how long a task may make no progress.
	StallTimeout time.Duration
	// LoadReportInterval, multiplied by the number of connected entries, is the shortest
	// time between two load reports to an entry that is sent nothing else.
	LoadReportInterval time.Duration
	// HeartbeatInterval is the longest time between two frames to an entry.
	HeartbeatInterval time.Duration
	// IdleHeartbeatInterval is the heartbeat interval of an entry that has had no task
	// here for IdleThreshold. Its liveness timeout is longer by the same amount.
	IdleHeartbeatInterval time.Duration
	IdleThreshold         time.Duration
}

// clockSkewDivisor bounds how slow the upstream's clock may be, as a divisor: 2%.
const clockSkewDivisor = 50

// Incarnation identifies one start of the upstream. Runs of an earlier incarnation
// have ended.
type Incarnation struct {
	ID     string
	Number int64 // Number grows with each start of the same upstream, unless its wall clock is set back.
}

// String returns the name of the incarnation in messages to entries.
func (l Incarnation) String() string { return messenger.IncarnationName(l.ID, l.Number) }

// matches reports whether two values may denote the same incarnation. A listing does
// not name the upstream, so an empty ID matches any.
func (l Incarnation) matches(o Incarnation) bool {
	return l.Number == o.Number && (l.ID == o.ID || l.ID == "" || o.ID == "")
}

// Announcement describes an upstream, as announced by itself.
type Announcement struct {
	Incarnation Incarnation
	Service     string
	Capacity    messenger.Resources
	Labels      []string
	Leaving     bool
	Sequence    int64 // Sequence grows with each announcement of an incarnation.
	// ColdFor is how much longer tasks run slowly there, because the upstream has just started; 0 if it
	// is warm.
	ColdFor time.Duration
}

// Runner is the state of one agent.
type Runner struct {
	limits      Limits
	incarnation Incarnation
	// learnedAt is when the incarnation became known.
	learnedAt time.Duration
	upstream  *Announcement // upstream is the latest announcement of the incarnation, or nil.
	// answered is set once the upstream has listed its runs in this incarnation.
	answered bool
	// restarted is set if the runner has known an earlier incarnation.
	restarted bool
	// listed is set once the upstream has listed its runs to this process. Until then runs of
	// an earlier process may be left, and those that it lists, at the latest until earlierLease
	// has expired.
	listed       bool
	earlierLease lease
	// silent is set while the upstream does not answer polls.
	silent      bool
	failedPolls int           // failedPolls counts the failed polls since the last listing.
	startedAt   time.Duration // startedAt is when the latest start was sent.
	polledAt    time.Duration // polledAt is when the latest poll was sent; 0 if none was.
	// longLeaseUntil is when leases are short again after a lost or late poll.
	longLeaseUntil time.Duration
	// closing is set once the agent shuts down; no new task is accepted.
	closing bool
	// evacuation says whether tasks may be started as far as evacuations are concerned.
	evacuation evacuation
	// warnedOfUnknown is whether it was logged that no entry tells of evacuations.
	warnedOfUnknown bool
	warmUp          warmUp
	// lease is the latest lease of the upstream's runs, and leaseBeforePoll what it was before
	// the latest poll.
	lease, leaseBeforePoll lease
	lastEnd                int64 // lastEnd is the number of the latest end that was processed.
	sessions               map[messenger.Peer]*session
	tasks                  map[messenger.TaskRef]*task
	waiting                []*task // waiting has the tasks that have not started, in order of urgency.
	// orphans are runs that the upstream lists and that no session owns.
	orphans map[listedRun]bool
	// orphansRetryAt is when the orphans are stopped again. A new one is stopped at once.
	orphansRetryAt time.Duration
	// held are the launches of tasks of which an earlier run may go on here, as a task or an
	// orphan. They are returned when that run has ended: the entry then launches the task
	// elsewhere.
	held   map[messenger.TaskRef][]heldLaunch
	used   messenger.Resources
	health health
	// listedAt is when the latest listing came. recentListing is set if that was within
	// recentListingAge of the listing before.
	listedAt      time.Duration
	recentListing bool
	// outages counts how often the upstream has stopped answering polls or restarted,
	// with less than faultMemory between two outages; lastOutage is the time of the last
	// one.
	outages    int
	lastOutage time.Duration
	crashes    crashLog
	// outstanding has the recent starts without an answer.
	outstanding []outstandingStart
	// countedJobs has the jobs whose failures were counted most recently.
	countedJobs [8]string
	nextCounted int
	// freed has the capacity that may be offered at the next call of Take.
	freed []freedCapacity
	out   Output
}

// New returns a runner that knows no upstream. The process of the agent starts at the given
// time.
func New(now time.Duration, l Limits) *Runner {
	return &Runner{
		limits:       l,
		earlierLease: newLease(now, l.MaxLeaseDuration),
		sessions:     make(map[messenger.Peer]*session),
		tasks:        make(map[messenger.TaskRef]*task),
		orphans:      make(map[listedRun]bool),
		held:         make(map[messenger.TaskRef][]heldLaunch),
		health:       newHealth(),
	}
}

// Output has the actions that the caller must carry out.
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
	// LeaseUntil is when the lease of the run ends. A start that is sent again, or sent late,
	// does not extend it, since the entry may have given the run up by then.
	LeaseUntil time.Duration
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

// Decision is a decision to be logged.
type Decision struct {
	Event  string // Event is in kebab case.
	Task   messenger.TaskRef
	Run    uint64
	Reason string
	Age    time.Duration // Age is the age of the information behind the decision.
}

// state is the state of a task.
type state string

const (
	stateWaiting  state = "waiting"
	stateStarting state = "starting" // A start has no answer yet.
	stateRunning  state = "running"
	stateStopping state = "stopping" // A stop has no answer yet.
	stateStopped  state = "stopped"  // A stop was acknowledged, but the end is not listed yet.
)

type task struct {
	messenger.Launch
	session   *session
	state     state
	kind      messenger.EndKind // kind is the kind of end that is reported if the task is stopped.
	arrivedAt time.Duration     // arrivedAt is when the launch was received.
	startedAt time.Duration     // startedAt is when the start was sent.
	// incarnation is the one to which the start was sent, or a later one that has listed the run.
	incarnation Incarnation
	stoppedAt   time.Duration // stoppedAt is when the first stop was sent, or acknowledged.
	retryAt     time.Duration // retryAt is when a stop is sent again.
	// lastContact is the latest contact of the entry before the task was stopped. The entry may
	// have given the task up since, whatever contact it has later.
	lastContact time.Duration
	// acknowledged is set once the upstream has answered the start with success or has listed
	// the run, for the first time at acknowledgedAt.
	acknowledged   bool
	acknowledgedAt time.Duration
	// settled is set once the start was acknowledged at its first attempt. An earlier attempt
	// without an answer may still arrive, and be the first one at a later incarnation.
	settled bool
	// repeated is set once the start was sent again. resolved is set once the upstream has answered
	// the start, or has listed the run, and it was sent only once.
	repeated, resolved bool
	// reported is set once the entries are told of the start as an outstanding one.
	reported bool
	// lapsed is set once the lease of a run that is not settled has expired. In this incarnation
	// the run has ended, and cannot start again.
	lapsed bool
	// earlier is set if the upstream has restarted since. Whether the run has ended with the
	// earlier incarnation is known with the first listing of the new one.
	earlier    bool
	percent    int           // percent is the latest progress.
	progressAt time.Duration // progressAt is when the progress last changed.
}

// Announce applies an announcement, and reports whether it was accepted. An
// announcement of an older incarnation, or with an older sequence number, is not.
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
	r.warmUp.announced(now, u.ColdFor)
	if changed {
		r.logDecision(Decision{Event: "upstream-announced", Reason: string(r.State(now))})
		if u.Leaving {
			r.returnWaiting(now)
		}
		r.requestReports()
	}
	return true
}

// Leave applies the departure of an upstream. It ends after it has said so, so its runs go on
// until it is known to run nothing, or until their lease expires, which is not renewed.
func (r *Runner) Leave(now time.Duration, id string) {
	if r.upstream == nil || r.upstream.Incarnation.ID != id {
		return
	}
	r.logDecision(Decision{Event: "upstream-left"})
	r.upstream = nil
	r.returnWaiting(now)
	r.requestReports()
}

// startIncarnation switches to a new incarnation of the upstream. All runs of an
// earlier one have ended, but a start may have reached the new one.
func (r *Runner) startIncarnation(now time.Duration, l Incarnation) {
	if r.incarnation != (Incarnation{}) {
		r.logDecision(Decision{Event: "upstream-restarted"})
		if !r.silent {
			r.recordOutage(now)
		}
	}
	kind := r.recordCrash(now, "restarted")
	r.returnWaiting(now)
	for _, t := range r.tasks {
		t.earlier, t.lapsed, t.kind = true, false, cmp.Or(t.kind, kind)
	}
	r.restarted = r.incarnation != (Incarnation{})
	r.incarnation, r.learnedAt = l, now
	r.distrustLease(now)
	r.lastEnd = 0
	r.answered = false
	r.upstream = nil
	r.warmUp.restarted(now)
	r.health = newHealth()
	r.clearOrphans()
	r.requestReports()
}

// distrustLease records that the new incarnation may hold the longest lease: calls that were
// sent before it was known asked for the end of a lease on the clock of the earlier one, which
// is ahead. They may be carried out long after that lease has expired.
func (r *Runner) distrustLease(now time.Duration) {
	if r.restarted {
		r.lease = newLease(now, r.limits.MaxLeaseDuration)
	}
}

// returnWaiting returns the tasks that have not started to their entries.
func (r *Runner) returnWaiting(now time.Duration) { r.returnWaitingAs(now, messenger.EndReturned) }

// returnWaitingAs is like returnWaiting, with the kind of end that the entries are told.
func (r *Runner) returnWaitingAs(now time.Duration, kind messenger.EndKind) {
	for _, t := range slices.Clone(r.waiting) {
		r.end(now, t, kind, messenger.ProofNotStarted)
	}
}

// StopAdmitting makes the runner accept no new tasks, for the shutdown of the agent.
func (r *Runner) StopAdmitting(now time.Duration) {
	r.closing = true
	r.returnWaiting(now)
	r.requestReports()
}

// Idle reports whether no task is left.
func (r *Runner) Idle() bool { return len(r.tasks) == 0 }

// Crashes returns how often the upstream has crashed.
func (r *Runner) Crashes() uint64 { return r.crashes.total }

// Counts returns the number of running and of waiting tasks, and the resources in use.
func (r *Runner) Counts() (running, waiting int, used messenger.Resources) {
	return len(r.tasks) - len(r.waiting), len(r.waiting), r.used
}

// State returns the state of the upstream as reported to entries.
func (r *Runner) State(now time.Duration) messenger.RunnerState {
	switch {
	case r.upstream == nil || !r.answered || r.silent || len(r.orphans) > 0:
		return messenger.RunnerAbsent
	case r.upstream.Leaving || r.closing:
		return messenger.RunnerLeaving
	case r.evacuation != evacuationNone:
		// Otherwise an entry without evacuations would launch returned tasks here again and again.
		return messenger.RunnerEvacuated
	}
	return r.health.state(now)
}

func (r *Runner) logDecision(d Decision) { r.out.Decisions = append(r.out.Decisions, d) }

// sortedTasks returns the tasks in a deterministic order.
func (r *Runner) sortedTasks() []*task {
	tasks := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.Task.Compare(b.Task) })
	return tasks
}
