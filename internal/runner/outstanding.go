package runner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// outstandingMemory is how long a start without an answer is reported to entries that connect.
	outstandingMemory = time.Minute
	// maxOutstanding bounds the starts that are kept.
	maxOutstanding = 512
)

// outstandingStart is a start of which an attempt has had no answer. The upstream may carry that
// out after it has restarted, beside a run that was launched elsewhere in the meantime.
type outstandingStart struct {
	task     messenger.TaskRef
	upstream string // upstream is the ID of the upstream.
	sentAt   time.Duration
}

// Repeated applies that a start without an answer is about to be sent again.
func (r *Runner) Repeated(now time.Duration, c StartCall) {
	t := r.tasks[c.Task]
	if t == nil || t.Run != c.Run || t.state == stateWaiting {
		// The run has ended, and its start is recorded as outstanding.
		return
	}
	t.repeated, t.resolved = true, false
	r.recordOutstanding(now, t)
}

// recordOutstanding records that the start of a task may still be carried out. The entries are
// told with the next frame, which is not after that with the end of the run. A start at an upstream
// that has been replaced is not outstanding.
func (r *Runner) recordOutstanding(now time.Duration, t *task) {
	if t.reported || r.isReplaced(t.incarnation.ID) {
		return
	}
	t.reported = true
	r.logDecision(Decision{Event: "start-outstanding", Task: t.Task, Run: t.Run, Reason: t.incarnation.ID, Age: now - t.startedAt})
	s := outstandingStart{task: t.Task, upstream: t.incarnation.ID, sentAt: t.startedAt}
	r.outstanding = append(r.outstanding[max(0, len(r.outstanding)+1-maxOutstanding):], s)
	for _, to := range r.sessions {
		to.outstanding = append(to.outstanding, s)
	}
}

// isReplaced reports whether the upstream with the ID has been replaced by one with another ID, which
// rejects calls that are meant for it.
func (r *Runner) isReplaced(upstream string) bool {
	return r.incarnation.ID != "" && r.incarnation.ID != upstream
}

// recentOutstanding returns the outstanding starts to report to an entry that has connected.
func (r *Runner) recentOutstanding(now time.Duration) []outstandingStart {
	return slices.DeleteFunc(slices.Clone(r.outstanding), func(s outstandingStart) bool {
		return now-s.sentAt > outstandingMemory || r.isReplaced(s.upstream)
	})
}

// outstandingMessages returns the messages for outstanding starts.
func outstandingMessages(now time.Duration, starts []outstandingStart) []messenger.OutstandingStart {
	var messages []messenger.OutstandingStart
	for _, s := range starts {
		messages = append(messages, messenger.OutstandingStart{Task: s.task, Upstream: s.upstream, Age: now - s.sentAt})
	}
	return messages
}
