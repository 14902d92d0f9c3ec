package owner

import (
	"crypto/sha256"
	"slices"
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// taskState is where a task of an open job stands.
type taskState string

const (
	taskWaiting taskState = "waiting" // The task is in the placement queue.
	taskSent    taskState = "sent"    // The task was sent to an agent and may have started.
	taskDone    taskState = "done"
	taskFailed  taskState = "failed"
)

// job is one submission.
type job struct {
	spec        Job // spec.Tasks is nil once the job is answered.
	fingerprint [sha256.Size]byte
	received    time.Time
	waiters     []Waiter // waiters is empty once the job is answered.
	tasks       []task   // tasks has one entry a task of the spec, and is nil once answered.
	done        int      // done counts the tasks in state taskDone.
	everSent    bool     // everSent means that some task was sent to an agent at some time.
	answer      *messenger.Answer
	answeredAt  time.Time
}

type task struct {
	state        taskState
	agent        messenger.Peer // agent is set exactly in the states sent, done and failed.
	result       []byte
	replacements int
}

func newJob(now time.Time, in Job, digest [sha256.Size]byte) *job {
	j := &job{
		spec:        in,
		fingerprint: digest,
		received:    now,
		tasks:       make([]task, len(in.Tasks)),
	}
	for i := range j.tasks {
		j.tasks[i].state = taskWaiting
	}
	return j
}

// mayHaveStarted reports whether any task is at, or has ended at, an agent.
func (j *job) mayHaveStarted() bool {
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.state != taskWaiting })
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

// agentsInState returns the agents that have a task in the state, each once.
func (j *job) agentsInState(s taskState) []messenger.Peer {
	var out []messenger.Peer
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == s && !slices.Contains(out, t.agent) {
			out = append(out, t.agent)
		}
	}
	return out
}

func itoa(index uint16) string { return strconv.Itoa(int(index)) }
