package runner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// recordCrash records that the upstream has no runs left, and returns the kind of end of
// the tasks that were running. If the upstream had not announced that it leaves, it has
// crashed.
func (r *Runner) recordCrash(now time.Duration, reason string) messenger.EndKind {
	if r.upstream == nil || r.upstream.Leaving {
		return messenger.EndLost
	}
	crashed := false
	for _, t := range r.sortedTasks() {
		if t.state == stateWaiting {
			continue
		}
		crashed = true
		r.logDecision(Decision{Event: "task-crashed", Task: t.Task, Run: t.Run, Reason: string(t.state), Age: now - t.startedAt})
	}
	if crashed {
		r.crashes++
		r.logDecision(Decision{Event: "upstream-crashed", Reason: reason})
	}
	return messenger.EndCrashed
}
