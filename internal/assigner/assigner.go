// Package assigner decides what an entry does with ephemeral jobs: jobs that are not
// stored and whose caller waits for the result on an open connection.
//
// The entry that receives such a job owns it until its answer. The [Assigner] holds
// the jobs, their tasks, and the load that agents report for their upstreams. It
// schedules each task on the upstream that is expected to complete it first and keeps
// the tasks that fit nowhere ordered by urgency. It rejects jobs that cannot complete
// in time, and reschedules tasks that did not start, stalled or were lost.
//
// A task is never scheduled while an earlier run of it may still be running. A run has
// ended when its agent reports the end, when the agent's lease has expired, or when the
// agent has reconnected, since an agent stops its remaining runs before it reconnects.
//
// An [Assigner] does no I/O: its callers pass in events with their time, and it returns
// the actions to perform. Times are durations on the process's clock.
package assigner

import (
	"math/rand/v2"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of an assigner.
type Limits struct {
	// LeaseExpiry is the longest time that a run for this entry can outlive the last
	// contact with its agent.
	LeaseExpiry time.Duration
	// SuspicionTimeout is the time without a frame from an agent after which no task is
	// launched there.
	SuspicionTimeout time.Duration
	// LivenessTimeout is the time without a frame from an agent after which its
	// connection is closed.
	LivenessTimeout time.Duration
	// HeartbeatInterval is the longest time between two frames to an agent.
	HeartbeatInterval time.Duration
	// IdleHeartbeatInterval extends the heartbeat interval of an agent that has had no
	// task for IdleThreshold, and its suspicion and liveness timeouts.
	IdleHeartbeatInterval time.Duration
	IdleThreshold         time.Duration
	// ResubmitDelay is the shortest time after which a caller submits a job again; 0 if callers do
	// not.
	ResubmitDelay time.Duration
	// AnswerMargin is the time before a caller's timeout at which its job is abandoned,
	// so that the answer still reaches the caller.
	AnswerMargin time.Duration
	// MaxHeldBytes bounds the memory of the jobs without an answer, in bytes; 0 sets no limit.
	MaxHeldBytes int64
	// CrossDataCentreLatency is the added latency to an upstream in another data centre.
	CrossDataCentreLatency time.Duration
}

// Step is a set of tasks with equal requirements.
type Step struct {
	Count           int
	Resources       messenger.Resources
	DeclaredRunTime time.Duration // run time of a task that the caller expects
	After           []int         // indices of the steps that must be done first
	Label           string        // label that the upstream must have; empty if none is required
	Rack            string        // label of the preferred rack, which has the data; empty if there is none
	MaxPerUpstream  int           // maximum of tasks at one upstream; 0 means no limit
}

// Job is an ephemeral job.
type Job struct {
	ID               string // identifies the job at the upstreams as well
	Queue            string // kind of job, by which run times are estimated and jobs are logged
	Service          string
	Payload          string
	Priority         int // of the queue; 0 comes first
	Steps            []Step
	SlowdownFactor   float64       // allowed slowdown relative to the expected run time of the longest chain of steps
	LatencyAllowance time.Duration // fixed allowance in addition to it
	CallerTimeout    time.Duration // how long the caller waits for the answer
	MaxAttempts      int           // number of failures of one task that fails the job
	Ticket           uint64        // identifies the caller's request; unique for each request
	// Unread is for how long the request has been at this machine, at least, when the job is
	// submitted. UnreadKnown is whether it is known and not only a lower bound.
	Unread      time.Duration
	UnreadKnown bool
	// CallerGone reports whether the caller's connection is known to have ended, although
	// [Assigner.CallerLeft] may not have been called yet. It does not block; nil means unknown.
	CallerGone func() bool
}

// Outcome is the result with which a job is answered.
type Outcome string

// The outcomes.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeRejected  Outcome = "rejected" // Nothing of the job ran.
	OutcomeGivenUp   Outcome = "given-up" // Parts of the job may have run.
	OutcomeCancelled Outcome = "cancelled"
)

// Answer is the answer to a request.
type Answer struct {
	Ticket     uint64
	Job        string
	Queue      string
	Outcome    Outcome
	Reason     string        // in kebab case
	RetryAfter time.Duration // delay after which a rejected caller may retry
	Elapsed    time.Duration
	Launched   bool          // whether a task was sent to an agent
	QueueTime  time.Duration // time until the first launch, or until the answer if there was none
	Shortage   Shortage      // of a rejected job
}

// Decision is a decision to be logged.
type Decision struct {
	Event    string // in kebab case
	Task     messenger.TaskRef
	Run      uint64
	Instance string // the agent's instance
	Reason   string
	Proof    string        // name of the proof by which the end of a run is known
	Wait     time.Duration // time that the task is expected to wait at the agent
	Age      time.Duration // time since the agent's latest frame; for task-ended, the run time
	JobAge   time.Duration // time since the submission that the decision is about arrived; 0 if there is none
}

// Output holds the actions that the caller must perform.
type Output struct {
	Sends     []Send
	Closes    []messenger.Peer // agents whose connections must be closed
	Recalled  []string         // jobs that were recalled and have no runs any more
	Crashed   []string         // queues of the runs that ended because their upstream crashed
	Answers   []Answer
	Decisions []Decision
}

// Send is a frame for an agent.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// Assigner is the scheduling state of one entry.
type Assigner struct {
	limits        Limits
	dataCentre    string
	random        *rand.Rand
	agents        map[messenger.Peer]*agent
	order         []*agent // ordered by instance
	exposureOrder []*agent // the same agents, in the order in which they are exposed to hazards
	spareCPU      []int64  // spare CPU of each agent in order, in thousandths of a core
	jobs          map[string]*job
	held          int64   // memory of the submissions without an answer, in bytes
	pending       []*task // tasks that are ready and not scheduled
	unscheduled   []*task // tasks for which the current pass found no capacity
	deferred      []*task // tasks that the current pass has deferred
	gone          []*job  // jobs with tasks that the current pass did not launch because the caller has left
	unsorted      bool    // whether pending must be sorted by urgency
	departed      []departedAgent
	queues        map[string]*queue
	entries       int           // number of entries that share the upstreams, including this one
	meanRun       time.Duration // mean run time of recent tasks
	// lacksCapacity is whether the latest pass left tasks that can still be in time without
	// capacity; lacksExposed is the same for the tasks of hazardous queues.
	lacksCapacity, lacksExposed bool
	meanOutage                  time.Duration // mean time for which upstreams were absent recently; 0 if unknown
	serving                     bool          // whether an upstream was usable at the latest check
	servingAt                   time.Duration // when the first upstream became usable
	outageAt                    time.Duration // when the last upstream became unusable
	// rejectingAt is the start of the current overload: the first rejection that was not
	// followed by a pause of overloadGap. rejectedAt is the latest rejection.
	rejectingAt, rejectedAt time.Duration
	firstJobAt              time.Duration // when the first job arrived; 0 if none has
	closing                 bool
	// recallsUntil is until when recalls of jobs may come that were sent while this entry was
	// paused or not connected to the sender.
	recallsUntil time.Duration
	entryLostAt  time.Duration // when the connection to another entry last ended; 0 if none has
	advancedAt   time.Duration // when Advance was last called
	pausedAt     time.Duration // when the latest pause of this entry began
	catchUpUntil time.Duration // until when requests may be read that came during that pause
	crashes      crashLog
	outstanding  outstandingStarts
	exposing     bool // whether upstreams were exposed to hazardous queues at the latest pass
	confining    bool // whether a queue was hazardous at the latest pass
	// priorities has the priorities of each service's queues with recent jobs, as of the latest pass.
	priorities map[string]priorityRange
	evacuated  []string // data centres that are being evacuated
	holding    bool     // whether nothing may be launched, because it is not known what is evacuated
	out        Output
}

// departedAgent holds the tasks of a disconnected agent, which may still run.
type departedAgent struct {
	instance    string
	leaseExpiry time.Duration // when the runs have ended
	proof       messenger.Proof
	tasks       []*task
}

// New returns an assigner for an entry in a data centre. The random numbers spread tasks
// over equal upstreams and the retries of callers over time.
func New(l Limits, dataCentre string, random *rand.Rand) *Assigner {
	return &Assigner{
		limits:      l,
		dataCentre:  dataCentre,
		random:      random,
		agents:      make(map[messenger.Peer]*agent),
		jobs:        make(map[string]*job),
		queues:      make(map[string]*queue),
		priorities:  make(map[string]priorityRange),
		entries:     1,
		meanRun:     defaultRun,
		crashes:     newCrashLog(),
		outstanding: newOutstandingStarts(),
	}
}

// SetEntries sets the number of entries that share the upstreams, including this one.
func (a *Assigner) SetEntries(n int) { a.entries = n }

// Counts returns the number of jobs without an answer and of pending tasks.
func (a *Assigner) Counts() (jobs, pending int) {
	for _, j := range a.jobs {
		if j.unanswered() != nil {
			jobs++
		}
	}
	return jobs, len(a.pending)
}

// Resources returns the capacity of the upstreams that are ready, and the resources in
// use or requested there.
func (a *Assigner) Resources() (capacity, used messenger.Resources) {
	for _, g := range a.order {
		if g.loadKnown && g.load.State == messenger.RunnerReady && !g.isEvacuated() {
			capacity = capacity.Add(g.load.Capacity)
			used = used.Add(g.occupied())
		}
	}
	return capacity, used
}

// StateCount is the number of upstreams in a state.
type StateCount struct {
	State messenger.RunnerState
	Count int
}

// States returns the number of upstreams in each state.
func (a *Assigner) States() []StateCount {
	counts := []StateCount{
		{State: messenger.RunnerAbsent}, {State: messenger.RunnerReady}, {State: messenger.RunnerSuspect},
		{State: messenger.RunnerProbing}, {State: messenger.RunnerLeaving}, {State: messenger.RunnerEvacuated},
	}
	for _, g := range a.order {
		state := g.load.State
		if g.isEvacuated() {
			state = messenger.RunnerEvacuated
		}
		for i := range counts {
			if g.loadKnown && state == counts[i].State {
				counts[i].Count++
			}
		}
	}
	return counts
}

// WaitingJobs returns the number of unanswered jobs of a queue for which no task was
// launched.
func (a *Assigner) WaitingJobs(queue string) int {
	n := 0
	for _, j := range a.jobs {
		if open := j.unanswered(); open != nil && open.Queue == queue && !open.launched {
			n++
		}
	}
	return n
}

// Serving reports whether an upstream of any service can run tasks.
func (a *Assigner) Serving(now time.Duration) bool {
	return slices.ContainsFunc(a.order, func(g *agent) bool { return a.usable(now, g) })
}

// updateServing records when upstreams become usable and when the last becomes unusable.
func (a *Assigner) updateServing(now time.Duration) {
	serving := a.Serving(now)
	if a.serving && !serving {
		a.outageAt = now
		a.logDecision(Decision{Event: "no-upstream-left"})
	}
	if serving && !a.serving {
		a.servingAt = now
	}
	a.serving = serving
}

// settleTime is the time after the first usable upstream in which others may still
// connect: agents dial an entry within some 200 ms of its start.
const settleTime = 300 * time.Millisecond

// settling reports whether only a part of the upstreams may have connected, so that a
// lack of capacity is no reason to reject jobs.
func (a *Assigner) settling(now time.Duration) bool {
	return a.serving && now-a.servingAt < settleTime
}

// outage returns the time since the last upstream became unusable. It is 0 if an upstream
// is usable, or if none has been so far. An outage is expected to last for as long again.
func (a *Assigner) outage(now time.Duration) time.Duration {
	if a.serving || a.outageAt == 0 {
		return 0
	}
	return now - a.outageAt
}

// Advance applies the timers that are due, schedules pending tasks, and returns the
// actions to perform since the last call.
func (a *Assigner) Advance(now time.Duration) Output {
	a.noticePause(now)
	a.checkAgents(now)
	a.updateServing(now)
	a.resolveDeparted(now)
	a.updateExposure(now)
	a.checkDeadlines(now)
	a.rejectTooLate(now)
	a.abandonUnplaceable(now)
	a.schedule(now)
	a.rejectDisplaced(now)
	a.abandonHopeless(now)
	a.send(now)
	out := a.out
	a.out = Output{}
	return out
}

func (a *Assigner) logDecision(d Decision) { a.out.Decisions = append(a.out.Decisions, d) }
