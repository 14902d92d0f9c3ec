package assigner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// maxObjective bounds the latency objective of a job, so that times computed from it stay within a
// duration. It is longer than any caller waits.
const maxObjective = 60 * 24 * time.Hour

// estimate sets the times that follow from the run times of tasks, which the function returns for
// declared ones.
func (j *job) estimate(expect func(declared time.Duration) time.Duration) {
	for _, t := range j.tasks {
		t.expected = expect(t.step.DeclaredRunTime)
	}
	j.expected = j.longestChain(func(s *Step) time.Duration { return expect(s.DeclaredRunTime) })
	objective := time.Duration(min(j.SlowdownFactor*float64(j.expected)+float64(j.LatencyAllowance), float64(maxObjective)))
	j.objective = j.arrived + objective
	j.latestUseful = min(j.deadline, j.arrived+lateFactor*objective)
}

// longestChain returns the time of the longest chain of steps, given that of each.
func (j *job) longestChain(duration func(*Step) time.Duration) (longest time.Duration) {
	chain := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, b := range j.Steps[i].After {
			chain[i] = max(chain[i], chain[b])
		}
		chain[i] += duration(&j.Steps[i])
		longest = max(longest, chain[i])
	}
	return longest
}

// leastTime returns the least time that the job takes if all its upstreams are free. A step takes several
// run times if its tasks may not all run at once.
func (a *Assigner) leastTime(j *job) time.Duration {
	expect := a.queue(j.Queue).expect
	return j.longestChain(func(s *Step) time.Duration {
		once := min(s.DeclaredRunTime, expect(s.DeclaredRunTime))
		return time.Duration(a.rounds(j, s)) * once
	})
}

// rounds returns how many tasks of a step at least run one after the other, because only
// MaxPerUpstream of them may run at each upstream. It returns 1 if no upstream is known.
func (a *Assigner) rounds(j *job, s *Step) int {
	if s.MaxPerUpstream == 0 {
		return 1
	}
	upstreams := 0
	for _, g := range a.order {
		// An agent also reports evacuated while it has not been told yet, which does not change the least time.
		if g.loadKnown && !g.evacuated && g.load.Service == j.Service && s.matches(&g.load) {
			upstreams++
		}
	}
	if upstreams == 0 {
		return 1
	}
	// The division comes first, since the product may overflow.
	perUpstream := (s.Count + upstreams - 1) / upstreams
	return (perUpstream-1)/s.MaxPerUpstream + 1
}

const (
	// estimateCheckInterval is the shortest time between two jobs of a queue that are admitted to
	// check its estimate.
	estimateCheckInterval = time.Second
	// doubtfulFactor is the ratio of estimate to declaration from which an estimate is checked
	// although tasks of the queue have ended recently.
	doubtfulFactor = 2
)

// checkEstimate takes the declared run times of a job that would be rejected, if the estimate of its
// queue alone makes it too late and may be wrong: no task of the queue has ended recently, or the
// estimate is far from the declaration. A rejected job has no results from which the estimate could
// become right again.
func (a *Assigner) checkEstimate(now time.Duration, j *job, wait time.Duration) {
	q := a.queue(j.Queue)
	declared := j.longestChain(func(s *Step) time.Duration { return s.DeclaredRunTime })
	isConfirmed := q.resultAt > 0 && now-q.resultAt < estimateCheckInterval && j.expected < doubtfulFactor*declared
	isChecked := q.checkedAt > 0 && now-q.checkedAt < estimateCheckInterval
	if isConfirmed || isChecked || declared >= j.expected || now+wait+declared > j.deadline {
		return
	}
	q.checkedAt = now
	a.logDecision(Decision{Event: "estimate-checked", Task: messenger.TaskRef{Job: j.ID}, Reason: j.Queue, Wait: j.expected, Age: declared, JobAge: now - j.arrived})
	j.estimate(func(d time.Duration) time.Duration { return d })
}
