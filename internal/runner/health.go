package runner

import (
	"math"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// probeTasks is how many tasks run at a time on an upstream that is being probed.
	probeTasks = 1
	// maxFailureRatio is the weighted ratio of failed tasks that makes an upstream
	// suspect. It is well above 5%, the highest share of jobs that can never succeed.
	maxFailureRatio = 0.35
	// failureWeight is the weight of one result in that ratio.
	failureWeight = 0.15
	// slowdownWeight is the weight of one ended task in the moving average of the
	// slowdown.
	slowdownWeight = 0.1
	// minBackoff and maxBackoff bound the time until a suspect upstream is probed. The
	// lower bound is of the order of a job's latency objective.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// faultMemory is how long after a fault the backoff and the count of outages are
	// reset.
	faultMemory = 10 * time.Second
	// slowdownHalfLife is the half-life of the measured slowdown while no new
	// measurement comes, so that an idle upstream isn't avoided for ever.
	slowdownHalfLife = time.Second
	// maxSlowdown bounds the slowdown of one measurement. It is far above the slowdown
	// that users see of a slow upstream.
	maxSlowdown = 8
)

// health is the state of the upstream as derived from the ends and the progress of
// its tasks.
type health struct {
	failureRatio     float64
	slowdown         float64
	slowdownAt       time.Duration // slowdownAt is the time of the last measurement.
	reportedSlowdown float64       // reportedSlowdown is the slowdown at the last change reported to entries.
	backoff          time.Duration
	probeAt          time.Duration // probeAt is when a suspect upstream may be probed; 0 if it is not suspect.
	lastFault        time.Duration // lastFault is when the upstream last became suspect.
	penaltyUntil     time.Duration // penaltyUntil is the end of the slowdown penalty.
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

// observeRunTime adds the run time of a task that has ended to the slowdown.
func (h *health) observeRunTime(now, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	h.slowdown = h.decayedSlowdown(now)
	h.slowdown += slowdownWeight * (min(float64(took)/float64(expected), maxSlowdown) - h.slowdown)
	h.slowdownAt = now
}

// slowdownSample is the mean slowdown of the running tasks, from their progress.
type slowdownSample struct {
	sum   float64
	count int
}

const (
	// minPercent is the progress from which the run time of a task can be estimated.
	minPercent = 4
	// minElapsed is the run time above which the latency of the start call does not
	// dominate the estimate.
	minElapsed = 30 * time.Millisecond
	// progressWeight is the weight of one listing in the moving average of the
	// slowdown; there are some 16 listings per second.
	progressWeight = 0.35
	// slowdownChange is the change of the slowdown that is reported to entries at once.
	slowdownChange = 0.4
)

// add adds a running task to the sample, unless its progress is too small to
// estimate its run time.
func (s *slowdownSample) add(elapsed time.Duration, percent int, expected time.Duration) {
	if percent < minPercent && elapsed < expected || elapsed < minElapsed || expected <= 0 {
		return
	}
	projected := float64(elapsed) * 100 / float64(max(percent, 1))
	s.sum += min(projected/float64(expected), maxSlowdown)
	s.count++
}

// observeProgress adds a sample of the running tasks to the slowdown, and reports
// whether the slowdown has changed by slowdownChange since the last report.
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

// decayedSlowdown returns the slowdown, decayed towards 1 since the last measurement.
func (h *health) decayedSlowdown(now time.Duration) float64 {
	return 1 + (h.slowdown-1)*math.Exp2(-float64(now-h.slowdownAt)/float64(slowdownHalfLife))
}

// done records a task that succeeded.
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

// failed records a task that failed, and reports whether that makes the upstream
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

// penalise adds a slowdown penalty to an upstream that has recovered from an outage.
// The penalty lasts longer after each outage; during it, other upstreams are preferred
// while they have capacity in time.
func (h *health) penalise(now time.Duration, times int) {
	h.penaltyUntil = now + min(minPenalty<<min(times-1, maxDoublings), maxPenalty)
}

const (
	// minPenalty and maxPenalty bound the duration of the penalty: from twice the run
	// time of an average task to the run time of a long one.
	minPenalty = 500 * time.Millisecond
	maxPenalty = 4 * time.Second
	// penaltySlowdown is added to the slowdown during the penalty: a task may be lost
	// when it is half done, and is then restarted elsewhere.
	penaltySlowdown = 1.5
	// maxDoublings is the number of outages after which the penalty has reached its
	// longest duration.
	maxDoublings = 3
)

// slowdownPercent returns the run time of recent tasks relative to the expected one,
// in percent, including the penalty.
func (h *health) slowdownPercent(now time.Duration) int64 {
	slowdown := h.decayedSlowdown(now)
	if now < h.penaltyUntil {
		slowdown += penaltySlowdown
	}
	return int64(slowdown * 100)
}
