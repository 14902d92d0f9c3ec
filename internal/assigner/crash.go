package assigner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// maxTaskCrashes is the number of upstreams that crash under a task before its job is
	// given up.
	maxTaskCrashes = 2
	// crashMemory is how long a crash is remembered. It is longer than callers wait and
	// submit again.
	crashMemory = time.Minute
	// maxCrashRecords bounds the crashes that are remembered.
	maxCrashRecords = 1024
)

// crashLog holds the recent crashes of upstreams, and the tasks that ran there. Agents
// report the tasks of all entries, so that another entry knows a task when its caller
// submits it again.
type crashLog struct {
	records []*crashRecord // ordered by time of arrival
	byTask  map[messenger.TaskRef][]*crashRecord
}

type crashRecord struct {
	upstream string // incarnation of the upstream
	at       time.Duration
	runs     []messenger.CrashedRun
}

func newCrashLog() crashLog {
	return crashLog{byTask: make(map[messenger.TaskRef][]*crashRecord)}
}

// add adds a crash and reports whether it was not known.
func (l *crashLog) add(now time.Duration, c *messenger.Crash) bool {
	if slices.ContainsFunc(l.records, func(r *crashRecord) bool { return r.upstream == c.Upstream }) {
		return false
	}
	for len(l.records) > 0 && (now-l.records[0].at > crashMemory || len(l.records) >= maxCrashRecords) {
		l.removeOldest()
	}
	r := &crashRecord{upstream: c.Upstream, at: now - c.Age, runs: c.Runs}
	l.records = append(l.records, r)
	for _, run := range r.runs {
		l.byTask[run.Task] = append(l.byTask[run.Task], r)
	}
	return true
}

func (l *crashLog) removeOldest() {
	oldest := l.records[0]
	l.records = l.records[1:]
	for _, run := range oldest.runs {
		left := slices.DeleteFunc(l.byTask[run.Task], func(r *crashRecord) bool { return r == oldest })
		if l.byTask[run.Task] = left; len(left) == 0 {
			delete(l.byTask, run.Task)
		}
	}
}

// givenUp reports whether so many upstreams crashed under a task that it is not started
// again.
func (l *crashLog) givenUp(ref messenger.TaskRef) bool {
	return len(l.byTask[ref]) >= maxTaskCrashes
}

// recordCrash applies the report of a crash.
func (a *Assigner) recordCrash(now time.Duration, c *messenger.Crash) {
	if !a.crashes.add(now, c) {
		return
	}
	a.logDecision(Decision{Event: "crash-recorded", Reason: c.Upstream, Age: c.Age})
	for _, run := range c.Runs {
		// A task that has been launched again is given up when that run ends.
		j := a.jobs[run.Task.Job]
		if j == nil || j.answered || !a.crashes.givenUp(run.Task) {
			continue
		}
		if slices.ContainsFunc(a.pending, func(t *task) bool { return t.ref == run.Task }) {
			a.failCrashing(now, j)
		}
	}
}

// failCrashing fails a job with a task under which too many upstreams have crashed.
func (a *Assigner) failCrashing(now time.Duration, j *job) {
	a.finish(now, j, OutcomeFailed, "upstreams-crashed", 0)
}
