package runner

import (
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
	total  uint64 // total counts the crashes, without those that are only assumed.
	recent []*crash
	// assumed is the crash that is assumed while the upstream does not answer, or nil.
	assumed *crash
}

type crash struct {
	at       time.Duration
	upstream string
	runs     []messenger.CrashedRun
}

// recordCrash records that the upstream has no runs left, and returns the kind of end of
// the tasks that were running. If the upstream had not announced that it leaves, it has
// crashed.
func (r *Runner) recordCrash(now time.Duration, reason string) messenger.EndKind {
	assumed := r.crashes.assumed
	r.crashes.assumed = nil
	if r.upstream == nil || r.upstream.Leaving {
		return messenger.EndLost
	}
	if assumed != nil {
		r.confirmCrash(assumed)
	} else {
		runs := r.crashedRuns(now)
		if len(runs) == 0 {
			return messenger.EndCrashed
		}
		r.addCrash(now, runs)
	}
	r.crashes.total++
	r.logDecision(Decision{Event: "upstream-crashed", Reason: reason})
	return messenger.EndCrashed
}

// crashedRuns returns the runs that end with a crash at the given time. Those that ended with an
// earlier incarnation, although their end has no proof yet, are left out.
func (r *Runner) crashedRuns(at time.Duration) (runs []messenger.CrashedRun) {
	for _, t := range r.sortedTasks() {
		if t.state == stateWaiting || !t.incarnation.matches(r.incarnation) {
			continue
		}
		run := t.crashed(at)
		runs = append(runs, run)
		r.logDecision(Decision{Event: "task-crashed", Task: t.Task, Run: t.Run, Reason: string(t.state), Age: run.RunTime})
	}
	return runs
}

// assumeCrash records that the upstream, which does not answer, has probably crashed with its
// runs at the given time. The runs are not certain: they may go on until the lease expires.
func (r *Runner) assumeCrash(now, at time.Duration, reason string) {
	if r.upstream == nil || r.upstream.Leaving || r.crashes.assumed != nil {
		return
	}
	runs := r.crashedRuns(at)
	if len(runs) == 0 {
		return
	}
	for i := range runs {
		runs[i].Certain = false
	}
	r.crashes.assumed = r.addCrash(now, runs)
	r.logDecision(Decision{Event: "upstream-crash-assumed", Reason: reason})
}

// confirmCrash reports an assumed crash again. The runs whose lease has not expired are
// certain now.
func (r *Runner) confirmCrash(c *crash) {
	c.runs = slices.Clone(c.runs)
	for i := range c.runs {
		t := r.tasks[c.runs[i].Task]
		c.runs[i].Certain = t != nil && t.state != stateWaiting && t.acknowledged
	}
	for _, s := range r.sessions {
		s.crashes = append(s.crashes, c)
	}
}

// addCrash adds a crash and reports it to all entries.
func (r *Runner) addCrash(now time.Duration, runs []messenger.CrashedRun) *crash {
	c := &crash{at: now, upstream: r.incarnation.String(), runs: runs[:min(len(runs), maxCrashedRuns)]}
	r.crashes.recent = append(r.crashes.recentAt(now), c)
	r.crashes.recent = r.crashes.recent[max(0, len(r.crashes.recent)-maxCrashes):]
	for _, s := range r.sessions {
		s.crashes = append(s.crashes, c)
	}
	return c
}

func (t *task) crashed(at time.Duration) messenger.CrashedRun {
	return messenger.CrashedRun{Task: t.Task, Queue: t.Queue, RunTime: max(0, at-t.startedAt), Certain: t.acknowledged}
}

// recentAt returns the crashes that are not older than crashMemory.
func (l *crashLog) recentAt(now time.Duration) []*crash {
	return slices.DeleteFunc(slices.Clone(l.recent), func(c *crash) bool { return now-c.at > crashMemory })
}

// crashMessages returns the messages for crashes.
func crashMessages(now time.Duration, crashes []*crash) []messenger.Crash {
	var messages []messenger.Crash
	for _, c := range crashes {
		messages = append(messages, messenger.Crash{Upstream: c.upstream, Age: now - c.at, Runs: c.runs})
	}
	return messages
}
