package placer

import (
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// admit decides whether a job may enter the queue. It refuses a job that exceeds the
// queue's limit, would miss its deadline or can never run, so that the caller learns of
// it immediately.
func (p *Placer) admit(now time.Time, s *service, j *Job) Refusal {
	if p.Queued()+len(j.Tasks) > p.limits.MaxQueued {
		return Refusal{
			Reason:     submitter.ReasonOverloaded,
			Detail:     "the queue holds as many tasks as its limit allows",
			RetryAfter: time.Second,
		}
	}
	if !s.served() {
		return Refusal{
			Reason:     submitter.ReasonNoUpstream,
			Detail:     "no upstream serves " + j.Service + " now",
			RetryAfter: time.Second,
		}
	}
	if r := s.unplaceable(j); r.Reason != "" {
		return r
	}
	return p.admitByTime(now, s, j)
}

// admitByTime refuses a job that would miss its deadline because of the queue or the
// team's quota.
func (p *Placer) admitByTime(now time.Time, s *service, j *Job) Refusal {
	if j.Deadline.IsZero() {
		return Refusal{}
	}
	work := s.workOf(j, j.Tasks)
	longest := s.longest(j)
	budget := time.Duration(p.limits.DeadlineRatio * float64(j.Deadline.Sub(now)-longest))
	team := p.queueOf(s, j.Team)
	if wait, limited := team.quotaWait(work, len(j.Tasks)); limited && wait > budget {
		return Refusal{
			Reason:     submitter.ReasonQuotaExceeded,
			Detail:     "team " + j.Team + " has as much work waiting as its quota allows to end in time",
			RetryAfter: retryAfter(wait - budget),
		}
	}
	if s.waiting == 0 {
		// An idle service admits the job: declared run times are often far off.
		return Refusal{}
	}
	slots := s.share(p.entries)
	wait := (s.workAhead(team) + s.outstandingWork + work) / time.Duration(slots)
	if wait > budget {
		return Refusal{
			Reason:     submitter.ReasonOverloaded,
			Detail:     "the queue is too long to meet the deadline",
			RetryAfter: retryAfter(wait - budget),
		}
	}
	return Refusal{}
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

func retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}

// workAhead returns the waiting work that may start before a new job of a team: the
// team's own work and, since teams take turns, at most as much of each other team, or
// the mean over all teams if that is more.
func (s *service) workAhead(t *teamQueue) time.Duration {
	if len(s.queues) == 1 || t.waiting == s.waiting {
		return t.work
	}
	ahead := t.work
	floor := max(t.work, s.work/time.Duration(len(s.queues)))
	for _, q := range s.queues {
		if q != t {
			ahead += min(q.work, floor)
		}
	}
	return ahead
}

// quotaWait returns the time that the team's quota makes a new job take, and whether
// the team has a quota.
func (t *teamQueue) quotaWait(work time.Duration, tasks int) (time.Duration, bool) {
	var wait time.Duration
	if t.team.slots > 0 {
		wait = (t.work + work) / time.Duration(t.team.slots)
	}
	if t.team.rate > 0 {
		wait = max(wait, seconds((float64(t.waiting+tasks)-t.team.tokens)/t.team.rate))
	}
	return wait, t.team.slots > 0 || t.team.rate > 0
}

func (s *service) longest(j *Job) time.Duration {
	var longest time.Duration
	for _, index := range j.Tasks {
		longest = max(longest, s.learned.runTime(j.Requirements[index].RunTime))
	}
	return longest
}

func (s *service) served() bool {
	for _, m := range s.members {
		if m.agent.serving() {
			return true
		}
	}
	return false
}

// unplaceable returns a refusal if no upstream can ever run one of the job's tasks, or
// only upstreams that operators hold can.
func (s *service) unplaceable(j *Job) Refusal {
	held := s.firstThatNeverFits(j, (*agent).accepting)
	if held < 0 {
		return Refusal{}
	}
	if index := s.firstThatNeverFits(j, (*agent).serving); index >= 0 {
		return neverFits(index)
	}
	return Refusal{
		Reason:     submitter.ReasonNoUpstream,
		Detail:     "operators keep every upstream that can run task " + strconv.Itoa(held) + " from new work",
		RetryAfter: time.Second,
	}
}

// firstThatNeverFits returns the index of the first task that no usable upstream has the
// memory and accelerators for, even if it runs alone, or -1.
func (s *service) firstThatNeverFits(j *Job, usable func(*agent) bool) int {
	var most Requirements
	for i := range j.Requirements {
		n := s.corrected(j.Requirements[i])
		most.MemoryBytes = max(most.MemoryBytes, n.MemoryBytes)
		most.Accelerators = max(most.Accelerators, n.Accelerators)
	}
	if s.fitsSomewhere(most, usable) {
		return -1
	}
	for i := range j.Requirements {
		if !s.fitsSomewhere(s.corrected(j.Requirements[i]), usable) {
			return i
		}
	}
	return -1
}

// corrected returns requirements with the memory that the service's tasks usually take.
// It leaves out the margin that reservations add, so that no task is refused that has
// run before.
func (s *service) corrected(n Requirements) Requirements {
	n.MemoryBytes = s.learned.meanPeakMemory(n.MemoryBytes)
	return n
}

func (s *service) fitsSomewhere(need Requirements, usable func(*agent) bool) bool {
	for _, m := range s.members {
		c := &m.agent.capacity
		if usable(m.agent) && need.MemoryBytes <= c.MemoryBytes && need.Accelerators <= c.Accelerators {
			return true
		}
	}
	return false
}

// neverFits refuses a job because no known upstream can ever run one of its tasks.
func neverFits(index int) Refusal {
	return Refusal{
		Reason: submitter.ReasonNeverFits,
		Detail: "task " + strconv.Itoa(index) + " needs more memory or accelerators than any known upstream has",
	}
}
