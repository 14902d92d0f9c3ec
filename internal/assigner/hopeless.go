package assigner

import "time"

// abandonHopeless gives up the jobs of which something has run and another task cannot end before
// the deadline. Until then they would only hold capacity and callers. While tasks that can be in
// time find no capacity, a job is also given up once its answer is of no use.
func (a *Assigner) abandonHopeless(now time.Duration) {
	var hopeless []*job
	for _, t := range a.pending {
		j := t.job
		if len(t.outstanding) > 0 || a.mayBeRecalled(now, j) || j.withoutPlace {
			// These wait for something else, and have an end of their own.
			continue
		}
		if j.lastLaunchAt == now {
			// An agent applies withdrawals before launches of the same frame, so that the task would run.
			continue
		}
		latest := j.deadline
		if a.lacksCapacity {
			latest = j.latestUseful
		}
		if !j.answered && (j.ran || j.running > 0) && now+t.leastTime() > latest {
			hopeless = append(hopeless, j)
		}
	}
	for _, j := range hopeless {
		if !j.answered {
			a.abandon(now, j, "too-late", 0)
		}
	}
}

// leastTime returns the least time that a run of the task is expected to take, by its declared run
// time or by the estimate of the queue: either may be far too long.
func (t *task) leastTime() time.Duration { return min(t.expected, t.step.DeclaredRunTime) }
