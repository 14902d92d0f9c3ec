package runner

import (
	"math"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// probeTasks is how many tasks run at a time at an upstream that is probed.
	probeTasks = 1
	// failLimit is the weighted share of failed tasks that makes an upstream suspect.
	// Jobs that can never be done are a twentieth of the load at most.
	maxFailureRatio = 0.35
	// failWeight is the weight of one end in that share.
	failureWeight = 0.15
	// paceWeight is the weight of one task in the learned pace.
	slowdownWeight = 0.1
	// minBackOff and maxBackOff bound the time until a suspect upstream is probed. The
	// lower bound is in the order of a job's objective.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// trustAfter is how long an upstream must behave until its earlier faults are forgotten.
	faultMemory = 10 * time.Second
	// paceHalfLife is the time in which an upstream that runs nothing loses half of what
	// was learned of its pace: it is not passed over for good.
	slowdownHalfLife = time.Second
	// maxPace bounds what one task teaches: far more than users see of a slow upstream.
	maxSlowdown = 8
)

// health is what the ends of tasks tell about the upstream.
type health struct {
	failureRatio     float64
	slowdown         float64
	slowdownAt       time.Duration // pacedAt is when a task last taught the pace.
	reportedSlowdown float64       // toldPace is the pace when entries were last told of a change.
	backoff          time.Duration
	probeAt          time.Duration // until is when the upstream may be probed; 0 if it is not suspect.
	lastFault        time.Duration // faultAt is the time of the latest fault.
	penaltyUntil     time.Duration // waryUntil is until when the upstream counts as slower.
}

func newHealth() health { return health{slowdown: 1, reportedSlowdown: 1, backoff: minBackoff} }

func (h *health) state(now time.Duration) messenger.RunnerState {
	switch {
	case h.probeAt == 0:
		return messenger.RunnerReady
	case now < h.probeAt:
		return messenger.RunnerSuspect
	}
	return messenger.RunnerProbing
}

// learn takes the run time of a task.
func (h *health) observeRunTime(now, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	h.slowdown = h.decayedSlowdown(now)
	h.slowdown += slowdownWeight * (min(float64(took)/float64(expected), maxSlowdown) - h.slowdown)
	h.slowdownAt = now
}

// paceSample is the mean pace of the tasks that run, from their progress.
type slowdownSample struct {
	sum   float64
	count int
}

const (
	// minPercent is the progress from which the run time of a task can be told.
	minPercent = 4
	// minElapsed is the run time from which the progress tells more than the time of the
	// call.
	minElapsed = 30 * time.Millisecond
	// sampleWeight is the weight of one list in the pace; there are some 16 a second.
	progressWeight = 0.35
	// paceChange is the change of the pace that entries are told of at once.
	slowdownChange = 0.4
)

// add takes a task that has run for a time.
func (s *slowdownSample) add(elapsed time.Duration, percent int, expected time.Duration) {
	if percent < minPercent && elapsed < expected || elapsed < minElapsed || expected <= 0 {
		return
	}
	projected := float64(elapsed) * 100 / float64(max(percent, 1))
	s.sum += min(projected/float64(expected), maxSlowdown)
	s.count++
}

// sample learns from the tasks that run, and reports whether the pace has changed by
// much since entries were told.
func (h *health) observeProgress(now time.Duration, s slowdownSample) bool {
	if s.count > 0 {
		h.slowdown = h.decayedSlowdown(now)
		h.slowdown += progressWeight * (s.sum/float64(s.count) - h.slowdown)
		h.slowdownAt = now
	}
	if math.Abs(h.decayedSlowdown(now)-h.reportedSlowdown) < slowdownChange {
		return false
	}
	h.reportedSlowdown = h.decayedSlowdown(now)
	return true
}

// decayed returns the pace without what has been forgotten since.
func (h *health) decayedSlowdown(now time.Duration) float64 {
	return 1 + (h.slowdown-1)*math.Exp2(-float64(now-h.slowdownAt)/float64(slowdownHalfLife))
}

// done notes a task that ended with success.
func (h *health) done(now time.Duration) {
	h.failureRatio *= 1 - failureWeight
	if h.probeAt != 0 && now >= h.probeAt {
		h.probeAt = 0
		h.failureRatio = 0
	}
	if now-h.lastFault > faultMemory {
		h.backoff = minBackoff
	}
}

// failed notes a task that failed, and reports whether that makes the upstream
// suspect.
func (h *health) failed(now time.Duration) bool {
	h.failureRatio += failureWeight * (1 - h.failureRatio)
	probing := h.probeAt != 0 && now >= h.probeAt
	if h.failureRatio < maxFailureRatio && !probing {
		return false
	}
	was := h.probeAt
	h.stalled(now)
	return was == 0 || probing
}

// stalled makes the upstream suspect.
func (h *health) stalled(now time.Duration) {
	if h.probeAt != 0 && now < h.probeAt {
		return
	}
	h.lastFault = now
	h.probeAt = now + h.backoff
	h.backoff = min(2*h.backoff, maxBackoff)
}

// distrust makes an upstream that has come back count as slower for a while, for longer
// each time: others go before it as long as they have room in time.
func (h *health) penalise(now time.Duration, times int) {
	h.penaltyUntil = now + min(minPenalty<<min(times-1, maxDoublings), maxPenalty)
}

const (
	// minWary and maxWary bound how long an upstream counts as slower that has come back:
	// from twice the time of an average task to that of a long one.
	minPenalty = 500 * time.Millisecond
	maxPenalty = 4 * time.Second
	// waryPace is added to its pace: a task may be lost when half of it is done, and begins
	// anew elsewhere.
	penaltySlowdown = 1.5
	// maxDoublings is after how many falls the time of distrust has reached its bound.
	maxDoublings = 3
)

// pace returns the run time of recent tasks by the expected one, in percent.
func (h *health) slowdownPercent(now time.Duration) int64 {
	pace := h.decayedSlowdown(now)
	if now < h.penaltyUntil {
		pace += penaltySlowdown
	}
	return int64(pace * 100)
}
