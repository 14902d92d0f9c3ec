package messenger

import (
	"cmp"
	"fmt"
	"time"
)

// Room is an amount of an upstream's capacity.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty"` // MilliCPU is in thousandths of a core.
	MemoryBytes  int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryBytes + o.MemoryBytes, r.Accelerators + o.Accelerators}
}

// Sub returns the amount without another. Parts of it may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryBytes - o.MemoryBytes, r.Accelerators - o.Accelerators}
}

// Fits reports whether the amount is within another in every part.
func (r Resources) Fits(in Resources) bool {
	return r.MilliCPU <= in.MilliCPU && r.MemoryBytes <= in.MemoryBytes && r.Accelerators <= in.Accelerators
}

// TaskRef names one task of an ephemeral job.
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
	// Run counts the starts of the task. It grows with each.
	Run       uint64    `cbor:"2,keyasint"`
	Payload   string    `cbor:"3,keyasint,omitempty"`
	Resources Resources `cbor:"4,keyasint"`
	// Service is the service that the upstream must belong to.
	Service string `cbor:"5,keyasint"`
	// Urgency is the latest start that lets the job meet its objective, on the
	// agent's clock. Waiting tasks are started by priority and in its order.
	Urgency time.Duration `cbor:"6,keyasint"`
	// StartBy is on the agent's clock. A task that has not started by then goes back.
	StartBy time.Duration `cbor:"7,keyasint"`
	// Expected is how long the task is expected to run.
	ExpectedRunTime time.Duration `cbor:"8,keyasint"`
	// Life is the upstream that the entry chose. Another one at the same agent does
	// not run the task.
	Incarnation string `cbor:"9,keyasint"`
	// Failures is how often the task has failed elsewhere.
	Failures int `cbor:"10,keyasint,omitempty"`
	// Insist means that a suspect upstream runs the task as well, because too many are
	// suspect.
	AllowSuspect bool `cbor:"11,keyasint,omitempty"`
	// Priority is that of the queue; 0 comes first.
	Priority int `cbor:"12,keyasint,omitempty"`
}

// Withdraw ends a task of an ephemeral job, whether it waits or runs.
type Withdraw struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  uint64  `cbor:"2,keyasint"`
}

// EndKind says how a task of an ephemeral job ended at an agent.
type EndKind string

// The kinds of ends.
const (
	EndDone       EndKind = "done"       // The upstream ran the task with success.
	EndFailed     EndKind = "failed"     // The upstream ran the task without success.
	EndReturned   EndKind = "returned"   // The task did not start.
	EndRefused    EndKind = "refused"    // The upstream refused the task, which did not start.
	EndStaleRun   EndKind = "stale-run"  // The upstream has seen a higher run of the task.
	EndWithdrawn  EndKind = "withdrawn"  // The entry withdrew the task.
	EndStalled    EndKind = "stalled"    // The task stood still and was stopped.
	EndStraggled  EndKind = "straggled"  // The task was far slower than expected and was stopped.
	EndLost       EndKind = "lost"       // The upstream ended, or its lease lapsed.
	EndUnresolved EndKind = "unresolved" // Whether the task started is not known; it does not run any more.
)

// Ran reports whether the task may have started.
func (k EndKind) Ran() bool {
	return k != EndReturned && k != EndRefused && k != EndStaleRun
}

// End is the end of a task of an ephemeral job.
type End struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  uint64  `cbor:"2,keyasint"`
	Kind EndKind `cbor:"3,keyasint"`
	// Took is the time from the start to the end, if the task ran.
	RunTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Started reports whether the task may have started, if it was withdrawn.
	Started bool `cbor:"5,keyasint,omitempty"`
}

// RunnerState is how an agent stands to the upstream that it drives.
type RunnerState string

// The states of a driven upstream.
const (
	RunnerAbsent  RunnerState = "absent" // None is announced, or it does not answer.
	RunnerReady   RunnerState = "ready"
	RunnerSuspect RunnerState = "suspect" // It fails or stalls tasks; nothing is started there.
	RunnerProbing RunnerState = "probing" // It was suspect and may run a few tasks.
	RunnerLeaving RunnerState = "leaving"
)

// Load is what an agent tells every entry about its upstream.
type Load struct {
	Incarnation string      `cbor:"1,keyasint,omitempty"` // Life names the upstream's run; a restart is another.
	Service     string      `cbor:"2,keyasint,omitempty"`
	State       RunnerState `cbor:"3,keyasint"`
	Labels      []string    `cbor:"4,keyasint,omitempty"`
	Capacity    Resources   `cbor:"5,keyasint"`
	Used        Resources   `cbor:"6,keyasint"` // Used is charged for what runs and for starts without an answer.
	Queued      Resources   `cbor:"7,keyasint"` // Queued is asked for by what waits.
	// Seen is the number of launches that the agent has received on this connection.
	LaunchesReceived uint64 `cbor:"8,keyasint,omitempty"`
	// Pace is the run time of recent tasks by the expected one, in percent.
	RelativeRunTimePercent int64 `cbor:"9,keyasint,omitempty"`
}

// Stamp is the clock of the sender, and the latest stamp that it has received.
// A process takes nothing from a peer that has not heard of it for a while.
type Stamp struct {
	Clock time.Duration `cbor:"1,keyasint"`
	Echo  time.Duration `cbor:"2,keyasint,omitempty"`
}
