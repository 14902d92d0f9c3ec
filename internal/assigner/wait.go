package assigner

import "time"

// A task is launched at an upstream without free capacity if it is expected to wait there for a short
// time. An agent starts what waits with it in order of urgency, whichever entry sent it, before the end of
// a task is known anywhere else. So a task that may wait there gets the capacity that becomes free before the
// entry whose task has ended can use it for a less urgent one, and entries with more work waiting get more of
// it. Too many waiting tasks would be bound to upstreams that are not the first to have capacity.
const (
	// launchWait covers the latency to the agent, so that freed capacity is used immediately.
	launchWait = 3 * time.Millisecond
	// urgentLaunchWait applies to the queues with the highest priority, if there are others. It is a
	// quarter of the slack of the shortest jobs, whose tasks take 60 ms.
	urgentLaunchWait = 15 * time.Millisecond
	// begunLaunchWait applies to the tasks of a job of which others were launched: the work that was done
	// for the job is lost if one of them is late.
	begunLaunchWait = 8 * time.Millisecond

	// takenWait is the time that a task may wait at an agent, in addition to twice the expected wait, before the
	// agent returns it, so that it can be scheduled on another upstream with free capacity. If no wait was
	// expected, other entries have taken the capacity that was free, which often happens under overload. The
	// time doubles with each return, up to maxWaitDoublings times, which bounds the launches of a
	// task when the view of the load is inaccurate.
	takenWait        = 12 * time.Millisecond
	maxWaitDoublings = 5

	// confinedAgentWait takes the place of takenWait while a queue is hazardous. Few upstreams are then free for
	// its tasks, and each launch at another one puts more tasks at risk.
	confinedAgentWait = 25 * time.Millisecond

	// maxAgentWait bounds the time with its doublings.
	maxAgentWait = 400 * time.Millisecond
)

// beginMarginPercent is the time before the latest start of a job's first tasks from which jobs with more time
// come first, as a share of the expected run time, which may be off by as much. Under overload jobs would
// otherwise begin at their latest start, and 40% of them were late in a burst.
const beginMarginPercent = 30

// beginMargin returns that time for a task. It is half of the job's slack at most, so that jobs with little
// slack are urgent when they arrive.
func (t *task) beginMargin() time.Duration {
	slack := t.job.objective - t.job.arrived - t.job.expected
	return min(t.expected*beginMarginPercent/100, slack/2)
}

// maxLaunchWait returns the longest expected wait with which a task is launched at an agent.
func (a *Assigner) maxLaunchWait(t *task) time.Duration {
	switch {
	case a.confining || t.suspicion != nil:
		// More tasks at an upstream would be under suspicion after its next crash.
		return launchWait
	case a.isMostUrgent(t.job):
		return urgentLaunchWait
	case t.job.launched && len(t.job.tasks) > 1:
		return begunLaunchWait
	}
	return launchWait
}

// agentWait returns how long a task may wait at the agent to which it is launched, given the expected wait.
func (a *Assigner) agentWait(t *task, wait time.Duration) time.Duration {
	longest := takenWait + 2*wait
	if a.confining {
		longest = confinedAgentWait
	}
	return min(longest<<min(t.returns, maxWaitDoublings), maxAgentWait)
}

// due returns the time by which the pending tasks of a priority are ordered. It is the latest start, and earlier by the
// margin for the run time if the job has begun: the work done for it is lost if one of its tasks is late. It is
// not earlier by more, since a begun job with much time would displace others that are due.
func (a *Assigner) due(t *task) time.Duration {
	if t.job.launched && !a.confining {
		return t.latestStart() - t.expected*beginMarginPercent/100
	}
	return t.latestStart()
}

// isMostUrgent reports whether no queue of the service with recent jobs has a higher priority than a job, and
// some have a lower one.
func (a *Assigner) isMostUrgent(j *job) bool {
	p, ok := a.priorities[j.Service]
	return ok && j.Priority <= p.highest && j.Priority < p.lowest
}

// priorityRange has the highest and the lowest priority of the queues of a service with recent jobs. The
// highest priority is the smallest number.
type priorityRange struct{ highest, lowest int }

// updatePriorities determines the priorities of the queues with recent jobs.
func (a *Assigner) updatePriorities(now time.Duration) {
	clear(a.priorities)
	for _, q := range a.queues {
		if now-q.demandAt > demandHalfLife || q.service == "" {
			continue
		}
		p, ok := a.priorities[q.service]
		if !ok {
			p = priorityRange{q.priority, q.priority}
		}
		a.priorities[q.service] = priorityRange{min(p.highest, q.priority), max(p.lowest, q.priority)}
	}
}
