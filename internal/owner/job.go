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

// phase is where a job stands.
type phase string

const (
	phaseRecovered phase = "recovered" // The job is known from records and was not submitted here.
	phaseOpen      phase = "open"      // The job was submitted and has no answer.
	phaseAnswered  phase = "answered"
)

// taskState is where a task of a job stands.
type taskState uint8

const (
	taskWaiting taskState = iota // The task did not start; it waits in the placement queue if the job is open.
	taskSent                     // The task was sent to an agent and may have started.
	taskDone
	taskFailed
)

// job is one submission.
type job struct {
	phase    phase
	spec     Job    // spec.Tasks is set exactly in phase open.
	digest   uint64 // digest is that of the submission; 0 if it is not known.
	waiters  []waiter
	tasks    []task            // tasks has one entry a task once submitted, and is nil once answered.
	done     int               // done counts the tasks in state taskDone.
	answer   *messenger.Answer // answer is set exactly in phase answered.
	keptTill time.Time         // keptTill is when the job may be forgotten, unless it is open.
	// abandoned is when the last waiter went away; zero while one waits.
	abandoned  time.Time
	cancelled  bool // cancelled means that an agent has barred further starts.
	answerLost bool // answerLost means that the results were given to a request and dropped.
	foreign    bool // foreign means that an agent has seen a higher epoch.
	firstSent  bool // firstSent means that a task was sent since the job was begun.
	begun      time.Time
	bytes      int // bytes is what the job adds to Owner.bytes.
}

// waiter is a request that waits.
type waiter struct {
	Waiter
	deadline time.Time
}

type task struct {
	state taskState
	// unsure means that the task was sent over a connection that has ended, or by
	// a former owner: whether it started is open until the agent's records come.
	unsure       bool
	agent        messenger.Peer // agent is set exactly in the states sent, done and failed.
	result       []byte
	detail       string // detail says why the task failed.
	cause        messenger.FailureCause
	replacements int
}

// Sizes in bytes for the memory limit. The size of a map entry allows for the
// table's free slots.
const (
	mapEntryBytes = 112
	jobBytes      = int(unsafe.Sizeof(job{})) + int(unsafe.Sizeof(messenger.Answer{})) + mapEntryBytes + 2*int(unsafe.Sizeof(due{}))
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

// memory returns what the job takes in memory but for the results of its answer.
func (j *job) memory() int {
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

// hasResults reports whether the results of the answer are kept.
func (j *job) hasResults() bool { return j.answer != nil && len(j.answer.Results) > 0 }

// belongsTo reports whether the job is the team's. A job known from agents' records
// has no team; nobody learns its id but from who submitted it.
func (j *job) belongsTo(team string) bool {
	return j.spec.Team == "" || j.spec.Team == team
}

// mayHaveStarted reports whether any task is at, or has ended at, an agent.
func (j *job) mayHaveStarted() bool {
	return j.answerLost || slices.ContainsFunc(j.tasks, func(t task) bool { return t.state != taskWaiting })
}

// unsent returns the tasks that were not sent to an agent.
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

// grow makes room for tasks below n.
func (j *job) grow(n int) {
	if n > len(j.tasks) {
		j.tasks = append(j.tasks, make([]task, n-len(j.tasks))...)
	}
}

// Digest hashes what must be the same in every request for a submission. It goes
// into each Start, so that a new owner can compare.
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

func itoa(index uint16) string { return strconv.Itoa(int(index)) }

// reason returns why a job fails whose task has failed.
func (t *task) reason() submitter.Reason {
	if t.cause == messenger.CauseDeadline {
		return submitter.ReasonDeadlineExceeded
	}
	return submitter.ReasonTaskFailed
}
