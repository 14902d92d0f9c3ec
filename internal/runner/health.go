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
	failLimit = 0.35
	// failWeight is the weight of one end in that share.
	failWeight = 0.15
	// paceWeight is the weight of one task in the learned pace.
	paceWeight = 0.1
	// minBackOff and maxBackOff bound the time until a suspect upstream is probed. The
	// lower bound is in the order of a job's objective.
	minBackOff = 400 * time.Millisecond
	maxBackOff = 1500 * time.Millisecond
	// trustAfter is how long an upstream must behave until its earlier faults are forgotten.
	trustAfter = 10 * time.Second
	// paceHalfLife is the time in which an upstream that runs nothing loses half of what
	// was learned of its pace: it is not passed over for good.
	paceHalfLife = time.Second
	// maxPace bounds what one task teaches: far more than users see of a slow upstream.
	maxPace = 8
)

// health is what the ends of tasks tell about the upstream.
type health struct {
	failShare float64
	paceShare float64
	pacedAt   time.Duration // pacedAt is when a task last taught the pace.
	toldPace  float64       // toldPace is the pace when entries were last told of a change.
	backOff   time.Duration
	until     time.Duration // until is when the upstream may be probed; 0 if it is not suspect.
	faultAt   time.Duration // faultAt is the time of the latest fault.
	waryUntil time.Duration // waryUntil is until when the upstream counts as slower.
}

func newHealth() health { return health{paceShare: 1, toldPace: 1, backOff: minBackOff} }

func (h *health) state(now time.Duration) messenger.RunnerState {
	switch {
	case h.until == 0:
		return messenger.RunnerReady
	case now < h.until:
		return messenger.RunnerSuspect
	}
	return messenger.RunnerProbing
}

// learn takes the run time of a task.
func (h *health) learn(now, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	h.paceShare = h.decayed(now)
	h.paceShare += paceWeight * (min(float64(took)/float64(expected), maxPace) - h.paceShare)
	h.pacedAt = now
}

// paceSample is the mean pace of the tasks that run, from their progress.
type paceSample struct {
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
	sampleWeight = 0.35
	// paceChange is the change of the pace that entries are told of at once.
	paceChange = 0.4
)

// add takes a task that has run for a time.
func (s *paceSample) add(elapsed time.Duration, percent int, expected time.Duration) {
	if percent < minPercent && elapsed < expected || elapsed < minElapsed || expected <= 0 {
		return
	}
	projected := float64(elapsed) * 100 / float64(max(percent, 1))
	s.sum += min(projected/float64(expected), maxPace)
	s.count++
}

// sample learns from the tasks that run, and reports whether the pace has changed by
// much since entries were told.
func (h *health) sample(now time.Duration, s paceSample) bool {
	if s.count > 0 {
		h.paceShare = h.decayed(now)
		h.paceShare += sampleWeight * (s.sum/float64(s.count) - h.paceShare)
		h.pacedAt = now
	}
	if math.Abs(h.decayed(now)-h.toldPace) < paceChange {
		return false
	}
	h.toldPace = h.decayed(now)
	return true
}

// decayed returns the pace without what has been forgotten since.
func (h *health) decayed(now time.Duration) float64 {
	return 1 + (h.paceShare-1)*math.Exp2(-float64(now-h.pacedAt)/float64(paceHalfLife))
}

// done notes a task that ended with success.
func (h *health) done(now time.Duration) {
	h.failShare *= 1 - failWeight
	if h.until != 0 && now >= h.until {
		h.until = 0
		h.failShare = 0
	}
	if now-h.faultAt > trustAfter {
		h.backOff = minBackOff
	}
}

// failed notes a task that failed, and reports whether that makes the upstream
// suspect.
func (h *health) failed(now time.Duration) bool {
	h.failShare += failWeight * (1 - h.failShare)
	probing := h.until != 0 && now >= h.until
	if h.failShare < failLimit && !probing {
		return false
	}
	was := h.until
	h.stalled(now)
	return was == 0 || probing
}

// stalled makes the upstream suspect.
func (h *health) stalled(now time.Duration) {
	if h.until != 0 && now < h.until {
		return
	}
	h.faultAt = now
	h.until = now + h.backOff
	h.backOff = min(2*h.backOff, maxBackOff)
}

// distrust makes an upstream that has come back count as slower for a while, for longer
// each time: others go before it as long as they have room in time.
func (h *health) distrust(now time.Duration, times int) {
	h.waryUntil = now + min(minWary<<min(times-1, maxDoublings), maxWary)
}

const (
	// minWary and maxWary bound how long an upstream counts as slower that has come back:
	// from twice the time of an average task to that of a long one.
	minWary = 500 * time.Millisecond
	maxWary = 4 * time.Second
	// waryPace is added to its pace: a task may be lost when half of it is done, and begins
	// anew elsewhere.
	waryPace = 1.5
	// maxDoublings is after how many falls the time of distrust has reached its bound.
	maxDoublings = 3
)

// pace returns the run time of recent tasks by the expected one, in percent.
func (h *health) pace(now time.Duration) int64 {
	pace := h.decayed(now)
	if now < h.waryUntil {
		pace += waryPace
	}
	return int64(pace * 100)
}
