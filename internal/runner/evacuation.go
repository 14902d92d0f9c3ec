package runner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// evacuation says whether tasks may be started as far as the evacuation of the agent's data centre is
// concerned.
type evacuation string

const (
	evacuationNone    evacuation = ""
	evacuationUnknown evacuation = "evacuations-unknown" // No entry has told the agent yet.
	evacuationInForce evacuation = "evacuated"
)

// AwaitEvacuations makes the runner start nothing until [Runner.SetEvacuated] is called. An agent that has
// just started does not know whether its data centre is being evacuated.
func (r *Runner) AwaitEvacuations() { r.evacuation = evacuationUnknown }

// SetEvacuated sets whether the agent's data centre is being evacuated. While it is, nothing is started and
// what waits is returned to its entries.
func (r *Runner) SetEvacuated(now time.Duration, evacuated bool) {
	was := r.evacuation
	r.evacuation = evacuationNone
	if evacuated {
		r.evacuation = evacuationInForce
		r.logWaiting()
		r.returnWaitingAs(now, messenger.EndEvacuated)
	}
	if was == evacuationInForce && !evacuated {
		r.warmUp.begin(now)
	}
	if was != r.evacuation {
		r.requestReports()
	}
}

// warnIfUnknown logs once that no entry tells the agent of evacuations, which it learns at once from one that
// knows them.
func (r *Runner) warnIfUnknown(now time.Duration) {
	if r.evacuation != evacuationUnknown || r.warnedOfUnknown {
		return
	}
	for _, peer := range sortedPeers(r.sessions) {
		if s := r.sessions[peer]; now-s.openedAt > r.limits.LivenessTimeout {
			r.warnedOfUnknown = true
			r.logDecision(Decision{Event: "evacuations-not-told", Reason: "entry " + string(peer) + " has no EvacuateMs, or does not know the evacuations itself", Age: now - s.openedAt})
			return
		}
	}
}

// logWaiting logs the tasks that are returned, so that the log of a job tells why it was moved.
func (r *Runner) logWaiting() {
	for _, t := range r.waiting {
		r.logDecision(Decision{Event: "task-returned", Task: t.Task, Run: t.Run, Reason: string(r.evacuation)})
	}
}

// warmUp is the time in which load returns to a cold upstream after an evacuation. A cold upstream is slow, and
// all entries see it idle at the same moment.
type warmUp struct {
	from      time.Duration // from is when the evacuation ended; 0 if none has recently.
	coldUntil time.Duration // coldUntil is until when the upstream is cold, as it has announced.
}

// minWarmShare is the share of the capacity that is used at the beginning.
const minWarmShare = 0.125

func (w *warmUp) begin(now time.Duration) { w.from = now }

// returnWindow is the time after an evacuation in which an upstream may restart because its data centre
// returns. A later restart is that of a single upstream, which the others relieve.
const returnWindow = 30 * time.Second

// restarted applies a new incarnation of the upstream.
func (w *warmUp) restarted(now time.Duration) {
	w.coldUntil = 0
	if now-w.from > returnWindow {
		w.from = 0
	}
}

func (w *warmUp) announced(now, coldFor time.Duration) {
	w.coldUntil = 0
	if coldFor > 0 {
		w.coldUntil = now + coldFor
	}
}

// share returns the share of the capacity that may be used. It grows evenly until the upstream is warm.
func (w *warmUp) share(now time.Duration) float64 {
	if w.from == 0 || now >= w.coldUntil {
		return 1
	}
	return minWarmShare + (1-minWarmShare)*float64(now-w.from)/float64(w.coldUntil-w.from)
}

// reserved returns the part of the capacity that must not be used yet, since the upstream warms up. The
// entries see it as used. One that is being probed takes one task at a time in any case.
func (r *Runner) reserved(now time.Duration) messenger.Resources {
	share := r.warmUp.share(now)
	if share >= 1 || r.upstream == nil || r.health.state(now) != messenger.RunnerReady {
		return messenger.Resources{}
	}
	return r.upstream.Capacity.Scale(1 - share)
}

// fits reports whether the resources of a task are free. A task that is larger than the part of the capacity
// that a cold upstream may use starts once nothing else runs.
func (r *Runner) fits(now time.Duration, t *task) bool {
	used := r.used
	if used != (messenger.Resources{}) {
		used = used.Add(r.reserved(now))
	}
	return used.Add(t.Resources).Fits(r.upstream.Capacity)
}

// advanceWarmUp makes load reports follow the capacity that becomes available.
func (r *Runner) advanceWarmUp(now time.Duration) {
	if r.warmUp.from > 0 && now < r.warmUp.coldUntil {
		r.markLoadChanged()
	}
}
