// Package assigner decides what an entry does with ephemeral jobs: jobs that need
// not be kept, whose caller waits for the end on an open connection.
//
// The entry that reads such a job owns it until its answer. The [Assigner] holds
// the jobs, their tasks, and what agents have said of their upstreams. It places
// each task at the upstream that is expected to end it first, keeps what fits
// nowhere in the order of urgency, rejects what cannot end in time, and places
// anew what did not start, stood still or was lost.
//
// A task is never placed while an earlier run of it may be at work: its end was
// reported, or its agent was away for long enough to have stopped it, or the
// agent is back, which it is only after it has stopped what was left.
//
// An [Assigner] is given events and the time, and does nothing but to return what
// must be done. Times are durations on the process's clock.
package assigner

import (
	"math/rand/v2"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of an assigner.
type Limits struct {
	// Gone is how long after it was last heard an agent has certainly stopped
	// everything that it ran for this entry.
	LeaseExpiry time.Duration
	// Doubt is how long an agent may be silent until nothing more is sent to it.
	SuspicionTimeout time.Duration
	// Silence is how long an agent may be silent until its connection is closed.
	LivenessTimeout time.Duration
	// BeatEvery is the longest time between two frames to an agent.
	HeartbeatInterval time.Duration
	// RestBeat is that time for an agent that has had no task for RestAfter. It may be
	// silent for as much longer.
	IdleHeartbeatInterval time.Duration
	IdleThreshold         time.Duration
	// AnswerSlack is how long before its deadline a job is given up, so that the
	// answer reaches the caller.
	AnswerMargin time.Duration
	// Remote is the time that the way to another data centre takes.
	CrossDataCentreLatency time.Duration
}

// Step is a set of equal tasks.
type Step struct {
	Count           int
	Resources       messenger.Resources
	DeclaredRunTime time.Duration // Declared is how long the caller expects a task to run.
	After           []int         // After has the steps whose tasks must be done first.
	Label           string        // Label must be one of the upstream's, unless it is empty.
	Rack            string        // Rack is the label of the rack that has the data, if any.
	MaxPerUpstream  int           // MaxPerUpstream bounds the tasks that run at one upstream; 0 does not.
}

// Job is an ephemeral job.
type Job struct {
	ID               string // ID names the job at the upstreams as well.
	Queue            string // Queue names the kind of job, for what is learned and for logs.
	Service          string
	Payload          string
	Priority         int // Priority is that of the queue; 0 comes first.
	Steps            []Step
	SlowdownFactor   float64       // Stretch is how often a job may take its longest chain of work.
	LatencyAllowance time.Duration // Allowance is what it may take besides.
	CallerTimeout    time.Duration // Patience is how long the caller waits.
	MaxAttempts      int           // MaxAttempts is how often a task may fail.
	Ticket           uint64        // Ticket names the caller's request; each request has its own.
}

// Outcome says how a job was answered.
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
	Reason     string        // Reason is in kebab case.
	RetryAfter time.Duration // RetryAfter is when a rejected caller may come back.
	Took       time.Duration
	Launched   bool          // Launched means that a task was sent to an agent.
	Waited     time.Duration // Waited is the time until then, or until the answer.
}

// Decision is a decision that is worth a line in the log.
type Decision struct {
	Event    string // Event is in kebab case.
	Task     messenger.TaskRef
	Run      uint64
	Instance string // Instance is the agent's instance.
	Reason   string
	Wait     time.Duration // Wait is the time that the task is expected to wait.
	Age      time.Duration // Age is that of what was known of the agent.
}

// Output is what the caller must do.
type Output struct {
	Sends     []Send
	Closes    []messenger.Peer // Closes are agents whose connection must be closed.
	Answers   []Answer
	Decisions []Decision
}

// Send is a frame for an agent.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// Assigner is the state of one entry.
type Assigner struct {
	limits        Limits
	dataCentre    string
	random        *rand.Rand
	agents        map[messenger.Peer]*agent
	order         []*agent // order has the agents in a fixed order.
	spareCPU      []int64  // spares has what is not occupied at each of them, in thousandths of a core.
	jobs          map[string]*job
	pending       []*task // pending has the tasks that are ready and not placed.
	unscheduled   []*task // missed has the tasks that found no room in the pass.
	unsorted      bool    // unsorted means that pending is not in the order of urgency.
	departed      []departedAgent
	queues        map[string]*queue
	entries       int           // entries is the number of entries that share the upstreams, with this one.
	meanRun       time.Duration // meanRun is the mean run time of recent tasks.
	lacksCapacity bool          // short means that tasks that can be in time have found no room.
	serving       bool          // serving means that an upstream was usable when it was last looked at.
	servingAt     time.Duration // servingAt is when the first upstream became usable.
	outageAt      time.Duration // outageAt is when the last upstream became unusable.
	// rejectingAt is when the first of the latest jobs was rejected, with no lull since, and
	// rejectedAt when the last was.
	rejectingAt, rejectedAt time.Duration
	closing                 bool
	out                     Output
}

// departure has tasks at an agent that is away, which may still run.
type departedAgent struct {
	instance    string
	leaseExpiry time.Duration // until is when they have certainly ended.
	tasks       []*task
}

// New returns an assigner for an entry in a data centre. The random numbers spread
// tasks over equal upstreams and callers over time.
func New(l Limits, dataCentre string, random *rand.Rand) *Assigner {
	return &Assigner{
		limits:     l,
		dataCentre: dataCentre,
		random:     random,
		agents:     make(map[messenger.Peer]*agent),
		jobs:       make(map[string]*job),
		queues:     make(map[string]*queue),
		entries:    1,
		meanRun:    defaultRun,
	}
}

// SetEntries takes the number of entries that share the upstreams, with this one.
func (a *Assigner) SetEntries(n int) { a.entries = n }

// Counts returns the number of jobs without an answer and of tasks that wait.
func (a *Assigner) Counts() (jobs, pending int) {
	for _, j := range a.jobs {
		if !j.answered {
			jobs++
		}
	}
	return jobs, len(a.pending)
}

// Room returns the capacity of the upstreams that are ready, and what is in use or
// asked for there.
func (a *Assigner) Resources() (capacity, used messenger.Resources) {
	for _, g := range a.order {
		if g.loadKnown && g.load.State == messenger.RunnerReady {
			capacity = capacity.Add(g.load.Capacity)
			used = used.Add(g.occupied())
		}
	}
	return capacity, used
}

// StateCount is how many upstreams are in a state.
type StateCount struct {
	State messenger.RunnerState
	Count int
}

// States returns how many upstreams are in each state.
func (a *Assigner) States() []StateCount {
	counts := []StateCount{
		{State: messenger.RunnerAbsent}, {State: messenger.RunnerReady}, {State: messenger.RunnerSuspect},
		{State: messenger.RunnerProbing}, {State: messenger.RunnerLeaving},
	}
	for _, g := range a.order {
		for i := range counts {
			if g.loadKnown && g.load.State == counts[i].State {
				counts[i].Count++
			}
		}
	}
	return counts
}

// Waiting returns the number of a queue's jobs of which no task was launched.
func (a *Assigner) WaitingJobs(queue string) int {
	n := 0
	for _, j := range a.jobs {
		if j.Queue == queue && !j.answered && !j.launched {
			n++
		}
	}
	return n
}

// Serving reports whether an upstream of any service can run tasks.
func (a *Assigner) Serving(now time.Duration) bool {
	return slices.ContainsFunc(a.order, func(g *agent) bool {
		ready := g.load.State == messenger.RunnerReady || g.load.State == messenger.RunnerProbing
		return ready && !a.suspect(now, g)
	})
}

// watch notes when the last upstream became unusable.
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

// settleAfter is how long after the first usable upstream others may still connect: agents
// dial an entry within some 200 ms of its start.
const settleTime = 300 * time.Millisecond

// settling reports whether only a part of the upstreams may be known, so that what they
// cannot do says little.
func (a *Assigner) settling(now time.Duration) bool {
	return a.serving && now-a.servingAt < settleTime
}

// outage returns for how long no upstream has been usable: 0 if one is, or if none has
// been so far. An outage is expected to last for as long again.
func (a *Assigner) outage(now time.Duration) time.Duration {
	if a.serving || a.outageAt == 0 {
		return 0
	}
	return now - a.outageAt
}

// Take returns what must be done since the last call.
func (a *Assigner) Advance(now time.Duration) Output {
	a.checkAgents(now)
	a.updateServing(now)
	a.resolveDeparted(now)
	a.checkDeadlines(now)
	a.rejectTooLate(now)
	a.schedule(now)
	a.rejectDisplaced(now)
	a.send(now)
	out := a.out
	a.out = Output{}
	return out
}

func (a *Assigner) logDecision(d Decision) { a.out.Decisions = append(a.out.Decisions, d) }
