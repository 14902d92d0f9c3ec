package runner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Answer is the upstream's answer to a start.
type Answer string

// The answers to starts.
const (
	AnswerStarted          Answer = "started"
	AnswerRefused          Answer = "refused"    // The upstream did not start the task.
	AnswerStaleRun         Answer = "stale-run"  // The upstream has seen a higher run of the task.
	AnswerOtherIncarnation Answer = "other-life" // The upstream is another one than was meant.
	AnswerUnhealthy        Answer = "unhealthy"  // The upstream refuses work and has done nothing.
	AnswerNone             Answer = "none"       // Whether the start took effect is open.
)

// Started takes the answer to a start. If the start was sent before without an answer,
// a refusal says nothing about that one: it may have run, or may still be carried out.
func (r *Runner) Started(now time.Duration, c StartCall, a Answer, retried bool) {
	if retried && a != AnswerStarted && a != AnswerOtherIncarnation {
		a = AnswerNone
	}
	t := r.tasks[c.Task]
	if t == nil || t.Run != c.Run || t.state == stateWaiting {
		return
	}
	switch a {
	case AnswerStarted:
		if t.state == stateStarting {
			t.state = stateRunning
		}
	case AnswerNone:
		if t.state == stateStarting {
			r.stop(now, t, messenger.EndUnresolved, "start-unanswered")
		}
	case AnswerStaleRun:
		r.end(now, t, messenger.EndStaleRun)
	case AnswerRefused, AnswerOtherIncarnation, AnswerUnhealthy:
		r.logDecision(Decision{Event: "start-refused", Task: t.Task, Run: t.Run, Reason: string(a)})
		if a == AnswerUnhealthy {
			r.health.stalled(now)
			r.requestReports()
		}
		r.end(now, t, messenger.EndRefused)
	}
}

// Stopped takes the answer to a stop: whether the upstream has acknowledged it.
func (r *Runner) Stopped(now time.Duration, c StopCall, acknowledged bool) {
	if run, ok := r.orphans[c.Task]; ok && run == c.Run {
		// The next list of runs tells whether it is gone.
		return
	}
	t := r.tasks[c.Task]
	if t == nil || t.Run != c.Run || t.state != stateStopping {
		return
	}
	if acknowledged {
		t.state = stateStopped
		t.stoppedAt = now
	}
}

// Run is one run in a list of the upstream.
type Run struct {
	Task    messenger.TaskRef
	Run     uint64
	Percent int // Percent is the progress, from 0 to 100.
}

// RunEnd is the end of a run in a list of the upstream.
type RunEnd struct {
	Number int64 // Number counts the ends of a life from 1.
	Task   messenger.TaskRef
	Run    uint64
	Kind   messenger.EndKind
}

// Listing is the upstream's answer to the question what it runs.
type Listing struct {
	Incarnation Incarnation
	Running     []Run
	Ended       []RunEnd
	// AskedAt is when the question was sent.
	RequestedAt time.Duration
	// Renewed is the time to which the lease was asked to be extended, or 0.
	LeaseUntil time.Duration
}

// freshFor is the time since the list before within which ends tell how long the
// tasks ran. Lists come every 60 ms.
const recentListingAge = 100 * time.Millisecond

// Listed takes a list of the upstream.
func (r *Runner) Listed(now time.Duration, l Listing) {
	if !l.Incarnation.matches(r.incarnation) {
		if l.Incarnation.Number < r.incarnation.Number {
			return
		}
		r.startIncarnation(now, l.Incarnation)
	}
	r.failedPolls = 0
	if r.silent || !r.answered {
		r.logDecision(Decision{Event: "upstream-answers"})
		r.silent, r.answered = false, true
		if r.outages > 1 {
			r.health.penalise(now, r.outages-1)
			r.logDecision(Decision{Event: "upstream-distrusted", Reason: "flapping"})
		}
		r.requestReports()
	}
	r.recentListing = now-r.listedAt < recentListingAge
	r.listedAt = now
	for _, e := range l.Ended {
		if e.Number <= r.lastEnd {
			continue
		}
		r.lastEnd = e.Number
		r.applyEnd(now, e)
	}
	listed := make(map[messenger.TaskRef]uint64, len(l.Running))
	pace := slowdownSample{}
	for _, run := range l.Running {
		listed[run.Task] = run.Run
		r.applyProgress(now, run)
		if t := r.tasks[run.Task]; t != nil && t.Run == run.Run && t.state == stateRunning {
			pace.add(now-t.startedAt, run.Percent, t.ExpectedRunTime)
		}
	}
	if r.health.observeProgress(now, pace) {
		r.requestReports()
	}
	r.removeOrphans(listed)
	for _, t := range r.sortedTasks() {
		// What was stopped and is not in a list that was asked for afterwards is gone.
		if t.state == stateStopped && listed[t.Task] != t.Run && t.stoppedAt < l.RequestedAt {
			r.end(now, t, t.kind)
		}
	}
}

func (r *Runner) removeOrphans(listed map[messenger.TaskRef]uint64) {
	if len(r.orphans) == 0 {
		return
	}
	for ref, run := range r.orphans {
		if listed[ref] != run {
			delete(r.orphans, ref)
		}
	}
	if len(r.orphans) == 0 {
		r.logDecision(Decision{Event: "strays-gone"})
		r.requestReports()
	}
}

func (r *Runner) applyEnd(now time.Duration, e RunEnd) {
	if r.orphans[e.Task] == e.Run {
		delete(r.orphans, e.Task)
	}
	t := r.tasks[e.Task]
	if t == nil || t.Run != e.Run || t.state == stateWaiting {
		return
	}
	kind := e.Kind
	switch {
	case kind == messenger.EndDone:
		r.health.done(now)
		if r.recentListing {
			r.health.observeRunTime(now, now-t.startedAt, t.ExpectedRunTime)
		}
	case kind == messenger.EndFailed:
		if t.Failures == 0 && r.countsFailure(t.Task.Job) && r.health.failed(now) {
			r.suspect("failures")
		}
	case t.kind != "":
		kind = t.kind
	}
	r.end(now, t, kind)
}

// blames reports whether a failure of a job's task speaks against the upstream: a job
// that can never be done fails everywhere, and counts once.
func (r *Runner) countsFailure(job string) bool {
	if slices.Contains(r.countedJobs[:], job) {
		return false
	}
	r.countedJobs[r.nextCounted%len(r.countedJobs)] = job
	r.nextCounted++
	return true
}

func (r *Runner) suspect(reason string) {
	r.logDecision(Decision{Event: "upstream-suspect", Reason: reason})
	r.requestReports()
}

// progress notes how far a run is and stops it if it stands still.
func (r *Runner) applyProgress(now time.Duration, run Run) {
	t := r.tasks[run.Task]
	if t == nil || t.Run != run.Run || t.state == stateWaiting {
		if r.orphans[run.Task] == 0 {
			r.logDecision(Decision{Event: "stray-run", Task: run.Task, Run: run.Run})
			r.requestReports()
		}
		r.orphans[run.Task] = max(r.orphans[run.Task], run.Run)
		return
	}
	if t.state == stateStarting {
		t.state = stateRunning
	}
	if t.progressAt == 0 || run.Percent != t.percent {
		t.percent, t.progressAt = run.Percent, now
		return
	}
	allowed := max(r.limits.StallTimeout, t.ExpectedRunTime/stallDivisor)
	if t.state != stateRunning || now-t.progressAt < allowed {
		return
	}
	r.health.stalled(now)
	r.suspect("stalled")
	r.logDecision(Decision{Event: "task-stalled", Task: t.Task, Run: t.Run, Age: now - t.progressAt})
	r.stop(now, t, messenger.EndStalled, "stalled")
}

// stallShare is the share of a task's expected time that it may stand still, as a
// divisor: progress is told in hundredths.
const stallDivisor = 8

// stop ends a task: one that waits at once, another by a stop.
func (r *Runner) stop(now time.Duration, t *task, kind messenger.EndKind, reason string) {
	switch t.state {
	case stateWaiting:
		r.end(now, t, kind)
		return
	case stateStopping, stateStopped:
		return
	}
	r.logDecision(Decision{Event: "task-stopped", Task: t.Task, Run: t.Run, Reason: reason})
	t.kind = kind
	t.state = stateStopping
	t.stoppedAt = now
	r.sendStop(now, t)
}

func (r *Runner) sendStop(now time.Duration, t *task) {
	t.retryAt = now + r.limits.StopRetryInterval
	r.out.Stops = append(r.out.Stops, StopCall{Incarnation: r.incarnation, Task: t.Task, Run: t.Run})
}

// end forgets a task and tells its entry.
func (r *Runner) end(now time.Duration, t *task, kind messenger.EndKind) {
	delete(r.tasks, t.Task)
	t.session.tasks--
	t.session.idleSince = now
	e := messenger.End{Task: t.Task, Run: t.Run, Kind: kind, Started: t.state != stateWaiting}
	if t.state == stateWaiting {
		if i := slices.Index(r.waiting, t); i >= 0 {
			r.waiting = slices.Delete(r.waiting, i, i+1)
		}
	} else {
		r.used = r.used.Sub(t.Resources)
		e.RunTime = now - t.startedAt
	}
	if !t.session.closed {
		t.session.ends = append(t.session.ends, e)
	}
	r.markLoadChanged()
}
