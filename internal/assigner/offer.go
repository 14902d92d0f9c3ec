package assigner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// waitingResources returns what the pending tasks of each service need that can still be in time and that
// any upstream can run. Agents offer capacity that becomes free by it. It is nothing while a queue is hazardous,
// and after a crash, since a queue may turn out to be hazardous. With offers until then, more replays of crashing
// tasks fell below their bounds.
func (a *Assigner) waitingResources(now time.Duration) map[string]messenger.Resources {
	if len(a.pending) == 0 || a.holding || a.confining || a.crashes.anyWithin(now, hazardDuration) {
		return nil
	}
	sums := make(map[string]messenger.Resources)
	for _, t := range a.pending {
		if t.latestStart() < now || t.suspicion != nil || len(t.outstanding) > 0 || t.step.Label != "" || t.step.MaxPerUpstream > 0 ||
			t.job.withoutPlace || a.mayBeRecalled(now, t.job) {
			continue
		}
		sums[t.job.Service] = sums[t.job.Service].Add(t.step.Resources)
	}
	return sums
}

// mustDecline reports whether an agent must be told at once that nothing waits here any more. Either it has
// reported capacity since it was told that something waits, which it may have offered to this entry only, or an
// upstream has crashed and it must offer nothing.
func (a *Assigner) mustDecline(now time.Duration, g *agent, waiting messenger.Resources) bool {
	return g.reportedWaiting.MilliCPU > 0 && waiting.MilliCPU == 0 && (g.loadReceived || a.crashes.anyWithin(now, hazardDuration))
}

// anyWithin reports whether an upstream has crashed within a time.
func (l *crashLog) anyWithin(now, d time.Duration) bool {
	return len(l.records) > 0 && now-l.records[len(l.records)-1].at < d
}
