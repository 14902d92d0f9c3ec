package runner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// crashMemory is how long a crash is reported to entries that connect. It is longer
	// than callers wait and submit again.
	crashMemory = time.Minute
	// maxCrashes and maxCrashedRuns bound the crashes that are kept, and the runs of one.
	maxCrashes     = 32
	maxCrashedRuns = 64
)

// crashLog has the recent crashes of the upstream.
type crashLog struct {
	total  uint64 // total counts all crashes.
	recent []crash
	// lapsed has the runs that ended because the lease expired while the upstream did not
	// answer. If the upstream turns out to have restarted, they ran when it crashed.
	lapsed []messenger.CrashedRun
}

type crash struct {
	at       time.Duration
	upstream string
	runs     []messenger.CrashedRun // runs are ordered by run time.
}

// recordCrash records that the upstream has no runs left, and returns the kind of end of
// the tasks that were running. If the upstream had not announced that it leaves, it has
// crashed.
func (r *Runner) recordCrash(now time.Duration, reason string) messenger.EndKind {
	runs := r.crashes.lapsed
	r.crashes.lapsed = nil
	if r.upstream == nil || r.upstream.Leaving {
		return messenger.EndLost
	}
	for _, t := range r.sortedTasks() {
		if t.state == stateWaiting {
			continue
		}
		runs = append(runs, t.crashed(now))
		r.logDecision(Decision{Event: "task-crashed", Task: t.Task, Run: t.Run, Reason: string(t.state), Age: now - t.startedAt})
	}
	if len(runs) == 0 {
		return messenger.EndCrashed
	}
	slices.SortStableFunc(runs, func(a, b messenger.CrashedRun) int { return cmp.Compare(a.RunTime, b.RunTime) })
	c := crash{at: now, upstream: r.incarnation.String(), runs: runs[:min(len(runs), maxCrashedRuns)]}
	r.crashes.total++
	r.crashes.recent = append(r.crashes.recentAt(now), c)
	r.crashes.recent = r.crashes.recent[max(0, len(r.crashes.recent)-maxCrashes):]
	for _, s := range r.sessions {
		s.crashes = append(s.crashes, c)
	}
	r.logDecision(Decision{Event: "upstream-crashed", Reason: reason})
	return messenger.EndCrashed
}

func (t *task) crashed(now time.Duration) messenger.CrashedRun {
	return messenger.CrashedRun{Task: t.Task, Queue: t.Queue, RunTime: now - t.startedAt}
}

// recentAt returns the crashes that are not older than crashMemory.
func (l *crashLog) recentAt(now time.Duration) []crash {
	return slices.DeleteFunc(slices.Clone(l.recent), func(c crash) bool { return now-c.at > crashMemory })
}

// crashMessages returns the messages for crashes.
func crashMessages(now time.Duration, crashes []crash) []messenger.Crash {
	var messages []messenger.Crash
	for _, c := range crashes {
		messages = append(messages, messenger.Crash{Upstream: c.upstream, Age: now - c.at, Runs: c.runs})
	}
	return messages
}
