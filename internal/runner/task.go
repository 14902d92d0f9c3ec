package runner

import (
	"cmp"
	"slices"
	"strconv"
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
	AnswerOtherIncarnation Answer = "other-life" // The start was meant for another incarnation.
	AnswerUnhealthy        Answer = "unhealthy"  // The upstream refuses work; the task did not start.
	AnswerExpired          Answer = "expired"    // The lease had expired, so the start was not sent.
	AnswerNone             Answer = "none"       // Whether the task started is not known.
)

// Started applies the answer to a start. If retried is set, the start was sent before
// and not answered; a refusal then says nothing about the first attempt, which may have
// run or may still be executed.
func (r *Runner) Started(now time.Duration, c StartCall, a Answer, retried bool) {
	if retried && a != AnswerStarted && a != AnswerOtherIncarnation {
		a = AnswerNone
	}
	t := r.tasks[c.Task]
	if t == nil || t.Run != c.Run || t.state == stateWaiting {
		return
	}
	t.resolved = t.resolved || !retried && a != AnswerNone
	switch a {
	case AnswerStarted:
		t.acknowledge(now)
		t.settled = !retried
		if t.settled && t.lapsed {
			r.end(now, t, cmp.Or(t.kind, messenger.EndLost), messenger.ProofLeaseExpired)
			return
		}
		if t.state == stateStarting {
			t.state = stateRunning
		}
	case AnswerNone:
		if t.state == stateStarting {
			r.stop(now, t, messenger.EndUnresolved, "start-unanswered")
		}
	case AnswerStaleRun:
		r.end(now, t, messenger.EndStaleRun, messenger.ProofNotStarted)
	case AnswerRefused, AnswerOtherIncarnation, AnswerUnhealthy, AnswerExpired:
		if retried {
			// The first attempt may have run in the earlier incarnation, with which it ended.
			r.end(now, t, messenger.EndLost, messenger.ProofRestarted)
			return
		}
		r.logDecision(Decision{Event: "start-refused", Task: t.Task, Run: t.Run, Reason: string(a)})
		if a == AnswerUnhealthy {
			r.health.stalled(now)
			r.requestReports()
		}
		r.end(now, t, messenger.EndRefused, messenger.ProofNotStarted)
	}
}

func (t *task) acknowledge(now time.Duration) {
	if !t.acknowledged {
		t.acknowledged, t.acknowledgedAt = true, now
	}
}

// Stopped applies the result of a stop: whether the upstream has acknowledged it.
func (r *Runner) Stopped(now time.Duration, c StopCall, acknowledged bool) {
	if r.orphans[listedRun{c.Task, c.Run}] {
		// The next listing shows whether the run has ended.
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

// Run is a current run in a listing.
type Run struct {
	Task    messenger.TaskRef
	Run     uint64
	Percent int // Percent is the progress, from 0 to 100.
}

// RunEnd is the end of a run in a listing.
type RunEnd struct {
	Number int64 // Number counts the ends of an incarnation from 1.
	Task   messenger.TaskRef
	Run    uint64
	Kind   messenger.EndKind
}

// listedRun identifies a run. An upstream may list several runs of a task: a late start begins one
// beside a higher run.
type listedRun struct {
	task messenger.TaskRef
	run  uint64
}

func compareListedRuns(a, b listedRun) int {
	return cmp.Or(a.task.Compare(b.task), cmp.Compare(a.run, b.run))
}

// Listing is the upstream's answer to a poll: its current and ended runs.
type Listing struct {
	Incarnation Incarnation
	Running     []Run
	Ended       []RunEnd
	// RequestedAt is when the poll was sent.
	RequestedAt time.Duration
	// Clock is the time from the start of the incarnation to its answer. By then it rejects the
	// calls to earlier incarnations that are carried out late.
	Clock time.Duration
}

// recentListingAge is the longest time since the previous listing at which an end is
// recent enough to derive the run time of a task. Listings come every 60 ms.
const recentListingAge = 100 * time.Millisecond

// Listed applies a listing.
func (r *Runner) Listed(now time.Duration, l Listing) {
	if !l.Incarnation.matches(r.incarnation) {
		if l.RequestedAt <= r.learnedAt && l.Incarnation.Number < r.incarnation.Number {
			return
		}
		// A poll that was sent later is answered by a later incarnation, also if that has a
		// lower number because the wall clock has been set back.
		r.startIncarnation(now, l.Incarnation)
	}
	if !r.listed && len(l.Running) > 0 {
		// A late call of an earlier process may have got the longest lease from an upstream that
		// has restarted since.
		r.earlierLease = newLease(now, r.limits.MaxLeaseDuration)
	}
	r.markAnswered(now, l.Clock)
	r.recentListing = now-r.listedAt < recentListingAge
	r.listedAt = now
	for _, e := range l.Ended {
		if e.Number <= r.lastEnd {
			continue
		}
		r.lastEnd = e.Number
		r.applyEnd(now, e)
	}
	listed := make(map[listedRun]bool, len(l.Running))
	sample := slowdownSample{}
	for _, run := range l.Running {
		listed[listedRun{run.Task, run.Run}] = true
		r.applyProgress(now, run)
		if t := r.tasks[run.Task]; t != nil && t.Run == run.Run && t.state == stateRunning {
			sample.add(now-t.startedAt, run.Percent, t.ExpectedRunTime)
		}
	}
	if r.health.observeProgress(now, sample) {
		r.requestReports()
	}
	r.removeOrphans(listed)
	r.endEarlierRuns(now, l, listed)
	for _, t := range r.sortedTasks() {
		// A stopped run that is missing from a listing requested afterwards has ended.
		if t.state == stateStopped && !listed[listedRun{t.Task, t.Run}] && t.stoppedAt < l.RequestedAt {
			r.end(now, t, t.kind, messenger.ProofStopped)
		}
	}
}

// endEarlierRuns ends the runs of an earlier incarnation of the upstream. A run that the new
// one lists, or whose start may still reach it, is stopped there.
func (r *Runner) endEarlierRuns(now time.Duration, l Listing, listed map[listedRun]bool) {
	for _, t := range r.sortedTasks() {
		if !t.earlier {
			continue
		}
		t.earlier = false
		if !listed[listedRun{t.Task, t.Run}] && t.settled && t.acknowledgedAt < l.RequestedAt {
			r.end(now, t, t.kind, messenger.ProofRestarted)
			continue
		}
		if t.state == stateStopped && (!t.settled || listed[listedRun{t.Task, t.Run}]) {
			// The earlier incarnation may have acknowledged the stop, or this one may have rejected
			// it as meant for another one.
			t.state = stateStopping
			t.stoppedAt = now
			r.sendStop(now, t)
			continue
		}
		r.stop(now, t, t.kind, "restarted")
	}
}

// markAnswered records that the upstream has answered a poll when its clock was at the given time.
func (r *Runner) markAnswered(now, clock time.Duration) {
	if r.failedPolls > 0 {
		r.longLeaseUntil = now + longLeaseTime
	}
	r.failedPolls = 0
	r.crashes.assumed = nil
	r.listed = true
	if !r.answered {
		r.distrustLease(now)
		if r.restarted {
			r.logDecision(Decision{Event: "upstream-fenced", Reason: strconv.Itoa(len(r.recentOutstanding(now))), Age: clock})
		}
	}
	if r.answered && !r.silent {
		return
	}
	r.logDecision(Decision{Event: "upstream-answers"})
	r.silent, r.answered = false, true
	if r.outages > 1 {
		r.health.penalise(now, r.outages-1)
		r.logDecision(Decision{Event: "upstream-distrusted", Reason: "flapping"})
	}
	r.requestReports()
}

func (r *Runner) removeOrphans(listed map[listedRun]bool) {
	for run := range r.orphans {
		if !listed[run] {
			r.removeOrphan(run)
		}
	}
}

func (r *Runner) applyEnd(now time.Duration, e RunEnd) {
	if run := (listedRun{e.Task, e.Run}); r.orphans[run] {
		r.removeOrphan(run)
	}
	t := r.tasks[e.Task]
	if t == nil || t.Run != e.Run || t.state == stateWaiting {
		return
	}
	t.resolved = t.resolved || !t.repeated
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
	r.end(now, t, kind, messenger.ProofListed)
}

// countsFailure reports whether a failure of a job's task counts against the upstream.
// A job that can never succeed fails on every upstream, so a job counts only once while
// it is among the most recently counted ones.
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

// applyProgress records the progress of a run and stops it if it has stalled. A run
// that no session owns becomes an orphan.
func (r *Runner) applyProgress(now time.Duration, run Run) {
	t := r.tasks[run.Task]
	if t == nil || t.Run != run.Run || t.state == stateWaiting {
		if orphan := (listedRun{run.Task, run.Run}); !r.orphans[orphan] {
			r.logDecision(Decision{Event: "stray-run", Task: run.Task, Run: run.Run})
			r.requestReports()
			r.orphans[orphan], r.orphansRetryAt = true, now
		}
		return
	}
	t.acknowledge(now)
	t.incarnation.Number = r.incarnation.Number
	t.resolved = t.resolved || !t.repeated
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

// stallDivisor gives the share of its expected run time that a task may go without
// progress, as a divisor: progress is reported in whole percent.
const stallDivisor = 8

// stop ends a waiting task at once, and sends a stop for any other.
func (r *Runner) stop(now time.Duration, t *task, kind messenger.EndKind, reason string) {
	switch t.state {
	case stateWaiting:
		r.end(now, t, kind, messenger.ProofNotStarted)
		return
	case stateStopping, stateStopped:
		return
	}
	r.logDecision(Decision{Event: "task-stopped", Task: t.Task, Run: t.Run, Reason: reason})
	t.kind = kind
	t.state = stateStopping
	t.stoppedAt = now
	t.lastContact = t.session.contact()
	r.sendStop(now, t)
}

func (r *Runner) sendStop(now time.Duration, t *task) {
	t.retryAt = now + r.limits.StopRetryInterval
	r.out.Stops = append(r.out.Stops, StopCall{Incarnation: r.incarnation, Task: t.Task, Run: t.Run})
}

// end deletes a task and reports its end to the entry. The entry may launch the task elsewhere
// then, so an end needs a proof.
func (r *Runner) end(now time.Duration, t *task, kind messenger.EndKind, proof messenger.Proof) {
	delete(r.tasks, t.Task)
	if t.state != stateWaiting && !t.resolved {
		r.recordOutstanding(now, t)
	}
	t.session.tasks--
	t.session.idleSince = now
	e := messenger.End{Task: t.Task, Run: t.Run, Kind: kind, Started: t.state != stateWaiting, Proof: proof}
	if t.state == stateWaiting {
		if i := slices.Index(r.waiting, t); i >= 0 {
			r.waiting = slices.Delete(r.waiting, i, i+1)
		}
	} else {
		r.used = r.used.Sub(t.Resources)
		r.freed = append(r.freed, freedCapacity{resources: t.Resources})
		e.RunTime = now - t.startedAt
	}
	if !t.session.closed {
		t.session.ends = append(t.session.ends, e)
	}
	r.releaseHeld(t.Task)
	r.markLoadChanged()
}
