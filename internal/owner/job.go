package owner

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// phase is the lifecycle phase of a job.
type phase string

const (
	phaseRecovered phase = "recovered" // The job is known from records alone.
	phaseOpen      phase = "open"      // The job was submitted and has no answer.
	phaseAnswered  phase = "answered"
)

// taskState is the lifecycle state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota // The task did not start; it is in the placement queue if the job is open.
	taskSent                     // The task was sent to an agent and may have started.
	taskDone
	taskFailed
)

// job is one submission.
type job struct {
	phase       phase
	spec        Job    // spec.Tasks is set exactly in phase open.
	digest      uint64 // digest is the [Digest] of the submission; 0 if it is not known.
	waiters     []waiter
	tasks       []task            // tasks has one item per task once submitted, and is nil once answered.
	done        int               // done counts the tasks in state taskDone.
	answer      *messenger.Answer // answer is set exactly in phase answered.
	retainUntil time.Time         // retainUntil is when a job that is not open may be evicted.
	// abandonedAt is when the last waiter left; zero while one waits.
	abandonedAt    time.Time
	cancelled      bool // cancelled is set once an agent's record shows that the job was cancelled.
	answerLost     bool // answerLost is set once results of the job were delivered and dropped.
	ownedElsewhere bool // ownedElsewhere is set once an agent has refused this entry's epoch as stale.
	anySent        bool // anySent is set once tasks were sent by this entry.
	openedAt       time.Time
	accountedBytes int // accountedBytes is the share of the job in Owner.recordBytes.
}

// waiter is a request that waits for the answer of a job.
type waiter struct {
	Waiter
	deadline time.Time
}

type task struct {
	state taskState
	// startUnknown is set for a task that was sent over a connection that has ended,
	// or by a former owner, until the agent's records say whether it started.
	startUnknown bool
	agent        messenger.Peer // agent is set exactly in the states sent, done and failed.
	result       []byte
	detail       string // detail says why the task failed.
	cause        messenger.FailureCause
	reschedules  int
}

// Sizes in bytes for the memory limit. The size of a map entry includes a share of
// the map's unused slots.
const (
	mapEntryBytes = 112
	jobBytes      = int(unsafe.Sizeof(job{})) + int(unsafe.Sizeof(messenger.Answer{})) + mapEntryBytes + 2*int(unsafe.Sizeof(timer{}))
	taskBytes     = int(unsafe.Sizeof(task{}))
	specBytes     = int(unsafe.Sizeof(messenger.TaskSpec{}))
	sliceBytes    = int(unsafe.Sizeof([]byte(nil)))
)

func newJob(in *Job) *job {
	return &job{
		spec:   Job{Submission: in.Submission, Service: in.Service, Team: in.Team, RequestKey: in.RequestKey},
		digest: Digest(in),
	}
}

// memoryBytes returns the memory that the job takes, except for the results of its
// answer.
func (j *job) memoryBytes() int {
	n := jobBytes + len(j.spec.RequestKey) + len(j.tasks)*taskBytes
	for i := range j.spec.Tasks {
		n += specBytes + len(j.spec.Tasks[i].Payload)
	}
	if j.phase == phaseRecovered {
		for i := range j.tasks {
			n += len(j.tasks[i].result)
		}
	}
	return n
}

// hasResults reports whether the results of the answer are retained.
func (j *job) hasResults() bool { return j.answer != nil && len(j.answer.Results) > 0 }

// belongsTo reports whether a team may see the job. A job known from agents' records
// has no team and is visible to every team that knows its id, since an id is known
// only to the caller that submitted it and to those whom that caller told.
func (j *job) belongsTo(team string) bool {
	return j.spec.Team == "" || j.spec.Team == team
}

// mayHaveStarted reports whether any task was sent to an agent and may have started.
func (j *job) mayHaveStarted() bool {
	return j.answerLost || slices.ContainsFunc(j.tasks, func(t task) bool { return t.state != taskWaiting })
}

// unsent returns the tasks in state waiting.
func (j *job) unsent() []uint16 {
	var out []uint16
	for i := range j.tasks {
		if j.tasks[i].state == taskWaiting {
			out = append(out, uint16(i))
		}
	}
	return out
}

// agentsInState returns the agents that have a task in one of the states, each
// once and in order of their names.
func (j *job) agentsInState(states ...taskState) []messenger.Peer {
	var out []messenger.Peer
	for i := range j.tasks {
		if slices.Contains(states, j.tasks[i].state) {
			out = append(out, j.tasks[i].agent)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// grow extends the tasks to at least n items.
func (j *job) grow(n int) {
	if n > len(j.tasks) {
		j.tasks = append(j.tasks, make([]task, n-len(j.tasks))...)
	}
}

// Digest hashes the content that must be the same in every request for a submission.
// Each Start carries it, so that a new owner can compare it with a later request.
func Digest(in *Job) uint64 {
	if in.digest != 0 {
		return in.digest
	}
	var h xxhash.Digest
	h.Reset()
	var size [8]byte
	writeSize := func(n int) {
		binary.BigEndian.PutUint64(size[:], uint64(n))
		_, _ = h.Write(size[:])
	}
	for _, text := range [...]string{in.Service, in.Team, in.RequestKey} {
		writeSize(len(text))
		_, _ = h.WriteString(text)
	}
	writeSize(len(in.Tasks))
	for i := range in.Tasks {
		writeSize(len(in.Tasks[i].Payload))
		_, _ = h.Write(in.Tasks[i].Payload)
	}
	return max(h.Sum64(), 1)
}

func formatIndex(index uint16) string { return strconv.Itoa(int(index)) }

// reason returns the reason of a job's failure if this failed task causes it.
func (t *task) reason() submitter.Reason {
	if t.cause == messenger.CauseDeadline {
		return submitter.ReasonDeadlineExceeded
	}
	return submitter.ReasonTaskFailed
}
