package messenger

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of an upstream's capacity.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"` // MilliCPU is in thousandths of a core.
	MemoryBytes  int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. Components of the difference may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by a factor, rounded down.
func (r Resources) Scale(by float64) Resources {
	scale := func(n int64) int64 { return int64(float64(n) * by) }
	return Resources{scale(r.MilliCPU), scale(r.MemoryBytes), scale(r.Accelerators)}
}

// Fits reports whether no component of r exceeds that of limit.
func (r Resources) Fits(limit Resources) bool {
	return r.MilliCPU <= limit.MilliCPU && r.MemoryBytes <= limit.MemoryBytes && r.Accelerators <= limit.Accelerators
}

// TaskRef identifies one task of an ephemeral job.
type TaskRef struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// String returns the reference as job/step/index.
func (t TaskRef) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

// Compare orders references by job, step and index.
func (t TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Launch asks an agent to run one task of an ephemeral job.
type Launch struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Run numbers the starts of the task and increases with each of them.
	Run       uint64    `cbor:"2,keyasint"`
	Payload   string    `cbor:"3,keyasint,omitempty"`
	Resources Resources `cbor:"4,keyasint"`
	// Service is the service that the upstream must belong to.
	Service string `cbor:"5,keyasint"`
	// Urgency is the latest start time, on the agent's clock, at which the job still
	// meets its objective. Waiting tasks start in order of priority, then of Urgency.
	Urgency time.Duration `cbor:"6,keyasint"`
	// StartBy is on the agent's clock. A task that has not started by then is returned
	// to the entry, so that a launch that was delayed in transit has no effect.
	StartBy time.Duration `cbor:"7,keyasint"`
	// ExpectedRunTime is the expected run time of the task.
	ExpectedRunTime time.Duration `cbor:"8,keyasint"`
	// Incarnation is the incarnation of the upstream that the entry chose. The agent
	// does not start the task on any other incarnation.
	Incarnation string `cbor:"9,keyasint"`
	// Failures is the number of times that the task has failed on other upstreams.
	Failures int `cbor:"10,keyasint,omitempty"`
	// AllowSuspect lets the agent start the task on a suspect upstream. The entry sets it
	// when too many upstreams are suspect.
	AllowSuspect bool `cbor:"11,keyasint,omitempty"`
	// Priority is the priority of the task in the agent's queue; 0 is the highest.
	Priority int `cbor:"12,keyasint,omitempty"`
	// MaxWait is how long the task may wait for capacity at the agent before it is returned
	// to the entry.
	MaxWait time.Duration `cbor:"13,keyasint,omitempty"`
	// First is set if the entry has no other task at the agent. Such a launch may follow an
	// idle period; any other is valid only within the liveness timeout after an echo.
	First bool `cbor:"14,keyasint,omitempty"`
	// Queue is the kind of job.
	Queue string `cbor:"15,keyasint,omitempty"`
}

// Withdraw asks an agent to remove a waiting task of an ephemeral job from its queue,
// or to stop the task if it runs.
type Withdraw struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  uint64  `cbor:"2,keyasint"`
}

// EndKind says how a task of an ephemeral job ended at an agent.
type EndKind string

// The kinds of ends.
const (
	EndDone       EndKind = "done"       // The task succeeded.
	EndFailed     EndKind = "failed"     // The task ran and failed.
	EndReturned   EndKind = "returned"   // The agent returned the task without starting it.
	EndRefused    EndKind = "refused"    // The upstream refused to start the task.
	EndStaleRun   EndKind = "stale-run"  // The upstream has seen a higher run number of the task.
	EndWithdrawn  EndKind = "withdrawn"  // The entry withdrew the task.
	EndStalled    EndKind = "stalled"    // The task made no progress and was stopped.
	EndStraggled  EndKind = "straggled"  // The task was far slower than expected and was stopped.
	EndLost       EndKind = "lost"       // The lease expired, or the upstream left while the task ran.
	EndCrashed    EndKind = "crashed"    // The upstream crashed while the task ran.
	EndUnresolved EndKind = "unresolved" // It is unknown whether the task started; it no longer runs.
	EndEvacuated  EndKind = "evacuated"  // The agent returned the task without starting it, because its data centre is being evacuated.
)

// Ran reports whether the task may have started.
func (k EndKind) Ran() bool {
	return k != EndReturned && k != EndEvacuated && k != EndRefused && k != EndStaleRun
}

// Proof says how it is known that a run has ended. Nothing else ends a run: neither a refused
// connection nor the end of one, neither silence nor an announced departure.
type Proof string

// The proofs of the end of a run.
const (
	ProofListed       Proof = ""              // The upstream has listed the end.
	ProofStopped      Proof = "stopped"       // A stop was acknowledged, and a later list does not contain the run.
	ProofLeaseExpired Proof = "lease-expired" // The lease has expired on the slowest clock.
	ProofRestarted    Proof = "restarted"     // A later incarnation of the upstream has listed its runs.
	ProofNotStarted   Proof = "not-started"   // The start was not sent, or was refused.
	ProofReconnected  Proof = "reconnected"   // The agent has accepted a new connection, which it does once the run has ended.
)

// Name returns the proof's name in logs.
func (p Proof) Name() string {
	if p == ProofListed {
		return "listed"
	}
	return string(p)
}

// End reports to the entry that a task of an ephemeral job has ended at an agent.
type End struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  uint64  `cbor:"2,keyasint"`
	Kind EndKind `cbor:"3,keyasint"`
	// RunTime is the time from the start to the end, if the task ran.
	RunTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Started is set if a withdrawn task may have started.
	Started bool  `cbor:"5,keyasint,omitempty"`
	Proof   Proof `cbor:"6,keyasint,omitempty"`
}

// Crash reports that an upstream crashed, or fell silent until the lease of its runs expired,
// and what ran there. An agent sends it to every
// entry, also to those that connect later, so that what is known of a task outlives the
// entry that owns it.
type Crash struct {
	// Upstream is the incarnation of the upstream that crashed. It crashes once.
	Upstream string `cbor:"1,keyasint"`
	// Age is the time since the crash, when the message is built.
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
	Runs []CrashedRun  `cbor:"3,keyasint,omitempty"`
}

// OutstandingStart reports that an attempt to start a task has had no answer. The upstream may
// carry it out seconds later, and also after a restart under its ID, with which it has forgotten
// that the run was stopped. An agent sends it to every entry, also to those that connect later,
// and not after the end of the run.
type OutstandingStart struct {
	Task TaskRef `cbor:"1,keyasint"`
	// Upstream is the ID of the upstream, which a restart need not change.
	Upstream string `cbor:"2,keyasint"`
	// Age is the time since the attempt was sent, when the message is built.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// CrashedRun is a run that had not ended when its upstream crashed.
type CrashedRun struct {
	Task  TaskRef `cbor:"1,keyasint"`
	Queue string  `cbor:"2,keyasint,omitempty"`
	// RunTime is the time from the start to the crash.
	RunTime time.Duration `cbor:"3,keyasint,omitempty"`
	// Certain is set if the run was there when the upstream crashed: its start had been
	// acknowledged, and its lease had not expired while the upstream was silent.
	Certain bool `cbor:"4,keyasint,omitempty"`
}

// IncarnationName returns the name of one start of an upstream: its ID and a number.
func IncarnationName(id string, number int64) string {
	return id + "#" + strconv.FormatInt(number, 36)
}

// UpstreamID returns the ID of the upstream of which the name is that of an incarnation. It is
// empty if the ID is not known yet.
func UpstreamID(incarnation string) string {
	return incarnation[:max(0, strings.LastIndexByte(incarnation, '#'))]
}

// RunnerState is the state of the upstream that an agent runs tasks on.
type RunnerState string

// The states of an upstream that runs tasks of ephemeral jobs.
const (
	RunnerAbsent  RunnerState = "absent" // No upstream is announced, or it does not answer.
	RunnerReady   RunnerState = "ready"
	RunnerSuspect RunnerState = "suspect" // Tasks fail or stall there, so no task is started.
	RunnerProbing RunnerState = "probing" // It was suspect; a few tasks are started to probe it.
	RunnerLeaving RunnerState = "leaving"
	// RunnerEvacuated means that no new task may be started in the upstream's data centre, or that the
	// agent does not know yet whether it may.
	RunnerEvacuated RunnerState = "evacuated"
)

// Load is an agent's report of the state and load of its upstream to every entry.
type Load struct {
	Incarnation string      `cbor:"1,keyasint,omitempty"` // Incarnation identifies the upstream's incarnation, which changes with a restart.
	Service     string      `cbor:"2,keyasint,omitempty"`
	State       RunnerState `cbor:"3,keyasint"`
	Labels      []string    `cbor:"4,keyasint,omitempty"`
	Capacity    Resources   `cbor:"5,keyasint"`
	Used        Resources   `cbor:"6,keyasint"` // Used is taken by running tasks and by starts that are not acknowledged yet.
	Queued      Resources   `cbor:"7,keyasint"` // Queued is the sum of the resources that waiting tasks need.
	// LaunchesReceived is the number of launches that the agent has received on this
	// connection.
	LaunchesReceived uint64 `cbor:"8,keyasint,omitempty"`
	// RelativeRunTimePercent is the run time of recent tasks divided by their expected
	// run time, in percent.
	RelativeRunTimePercent int64 `cbor:"9,keyasint,omitempty"`
}

// Stamp carries the sender's clock and echoes the latest clock that the sender has
// received from the peer. A process ignores messages of a peer whose echo is too old,
// since that peer has not received from it recently.
type Stamp struct {
	Clock time.Duration `cbor:"1,keyasint"`
	Echo  time.Duration `cbor:"2,keyasint,omitempty"`
	// Waiting is what the tasks need that wait at an entry and can still be in time. Agents offer capacity
	// that becomes free to entries by it. A stamp without it says that nothing waits.
	Waiting Resources `cbor:"3,keyasint,omitempty"`
}
