package assigner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// SetEvacuated sets the data centres that are being evacuated. Their upstreams count as gone for
// everything that has not been launched. Jobs that only they could run are answered at once, since no
// wait helps: an evacuation lasts for longer than callers wait. Jobs with running tasks are answered when
// these have run to completion.
func (a *Assigner) SetEvacuated(now time.Duration, dataCentres []string) {
	a.evacuated = slices.Clone(dataCentres)
	for _, g := range a.order {
		g.evacuated = slices.Contains(a.evacuated, g.dataCentre)
	}
	for _, j := range a.sortedJobs() {
		if open := j.unanswered(); open != nil {
			a.abandonWithoutPlace(now, open)
		}
	}
}

// abandonWithoutPlace answers a job that has lost its place, unless some of its tasks run: an answer would
// stop these. Nothing more of the job is launched until then.
func (a *Assigner) abandonWithoutPlace(now time.Duration, j *job) {
	j.withoutPlace = a.lostItsPlace(now, j)
	if j.withoutPlace && j.running == 0 {
		a.abandon(now, j, "evacuated", 0)
	}
}

// HoldLaunches sets whether nothing may be launched, because this entry does not know what is being
// evacuated.
func (a *Assigner) HoldLaunches(hold bool) { a.holding = hold }

// isEvacuated reports whether no task may be started at an upstream because its data centre is being
// evacuated, as far as this entry or the agent knows, or because the agent does not know yet.
func (g *agent) isEvacuated() bool {
	return g.evacuated || g.load.State == messenger.RunnerEvacuated
}

// lostItsPlace reports whether a step of a job that has tasks to launch has no upstream left, or whether the
// upstreams that are left cannot run all of its tasks in time.
func (a *Assigner) lostItsPlace(now time.Duration, j *job) bool {
	if len(a.evacuated) == 0 {
		return false
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		waits := slices.ContainsFunc(j.tasks, func(t *task) bool {
			return t.step == s && (t.state == stateBlocked || t.state == statePending)
		})
		if waits && !a.stepMatches(j, s) {
			return true
		}
	}
	return !j.launched && now+a.leastTime(j) > j.deadline
}

// stepMatches reports whether a step has an upstream that could run it and is not being evacuated. It
// returns true if no upstream of the service is known yet.
func (a *Assigner) stepMatches(j *job, s *Step) bool {
	known := false
	for _, g := range a.order {
		if !g.loadKnown || g.load.Service != j.Service || g.load.Capacity == (messenger.Resources{}) {
			continue
		}
		// An agent also reports evacuated while it has not been told yet, which is no reason to reject a job.
		if !g.evacuated && s.matches(&g.load) {
			return true
		}
		known = true
	}
	return !known
}
