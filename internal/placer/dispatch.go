package placer

import (
	"time"
)

// output collects the assignments of one dispatch. The next dispatch reuses its memory.
type output struct {
	dispatch    uint64 // number of calls of Dispatch
	assignments []Assignment
	meta        []assignmentMeta // one for each assignment
	placements  []placement
	tasks       []uint16 // backing array of the assignments' tasks
	blocked     []*queuedJob
	yielding    []*teamQueue // teams without enough free credit, because they leave a reserve to other teams
}

type assignmentMeta struct {
	job      *queuedJob
	previous int // index of an earlier assignment for the same agent, -1 if there is none
	count    int
}

type placement struct {
	assignment int
	index      uint16
}

// delayedTask is a task that returns to its queue at a due time.
type delayedTask struct {
	due   time.Time
	job   Job
	index uint16
}

const (
	// maxBlocked bounds the jobs that one dispatch passes over in a service because
	// no agent with free credit has the memory or accelerators for them.
	maxBlocked = 16
	// maxCandidates bounds the agents that are evaluated for one task.
	maxCandidates = 64
)

// Dispatch takes tasks from the queues as far as credits allow and returns them
// as one batch for each job and agent. The returned slice is valid until the next
// call.
func (p *Placer) Dispatch(now time.Time) []Assignment {
	p.recordStart(now)
	p.output.reset()
	p.probeDue(now)
	p.returnDelayed(now)
	p.returnThrottled(now)
	for _, s := range p.serviceOrder {
		p.dispatchService(now, s)
	}
	p.retries.Earn(len(p.output.placements))
	return p.output.gather()
}

// Requeue returns a task of a known job to the front of its queue: immediately if
// the reschedule budget allows it, otherwise after a backoff.
func (p *Placer) Requeue(now time.Time, j Job, index uint16) {
	p.recordStart(now)
	p.checkHeldBack(&j)
	if p.retries.Spend() {
		p.requeue(j, index)
		return
	}
	p.delayed = append(p.delayed, delayedTask{due: now.Add(p.retries.Backoff(len(p.delayed) / 64)), job: j, index: index})
}

func (p *Placer) requeue(j Job, index uint16) {
	s := p.service(j.Service)
	work := s.learned.runTime(j.Requirements[index].RunTime)
	if q := p.jobs[j.Submission]; q != nil {
		q.prepend(index)
		q.work += work
		p.adjustCounts(q, 1, work)
		return
	}
	q := &queuedJob{job: j, waiting: []uint16{index}, work: work, position: -1, queue: p.queueOf(s, j.Team)}
	p.jobs[j.Submission] = q
	p.addJob(q)
}

func (p *Placer) returnDelayed(now time.Time) {
	kept := p.delayed[:0]
	for _, d := range p.delayed {
		if now.Before(d.due) {
			kept = append(kept, d)
			continue
		}
		p.requeue(d.job, d.index)
	}
	p.delayed = kept
}

// dispatchService schedules tasks of one service until credits or tasks run out.
func (p *Placer) dispatchService(now time.Time, s *service) {
	for len(s.teams.items) > 0 && len(s.available.items) > 0 && len(p.output.blocked) < maxBlocked {
		t := s.teams.items[0]
		if !t.team.mayStart(now) {
			s.teams.remove(t.position)
			t.throttled = true
			p.throttled = append(p.throttled, t)
			continue
		}
		if s.bulk == 0 && s.available.items[0].agent.freeCredit() <= 0 {
			break // Only tasks of bulk jobs could be scheduled.
		}
		q := t.jobs.items[0]
		requirements := q.job.Requirements[q.waiting[0]]
		requirements.MemoryBytes = s.learned.memoryBytes(requirements.MemoryBytes)
		chosen, full := p.pick(s, q, requirements)
		if chosen == nil && full && p.sameForTeam(q) {
			s.teams.remove(t.position) // No other job of the team can be scheduled either.
			p.output.yielding = append(p.output.yielding, t)
			continue
		}
		if chosen == nil {
			p.output.blocked = append(p.output.blocked, q)
			p.removeJob(q)
			continue
		}
		p.schedule(q, chosen.agent, requirements)
	}
	for _, q := range p.output.blocked {
		q.queue.jobs.push(q)
		p.updateTurn(q.queue)
	}
	p.output.blocked = p.output.blocked[:0]
	for _, t := range p.output.yielding {
		p.updateTurn(t)
	}
	p.output.yielding = p.output.yielding[:0]
}

// schedule assigns the first waiting task of a job to an agent.
func (p *Placer) schedule(q *queuedJob, a *agent, requirements Requirements) {
	t := q.queue
	index := q.waiting[0]
	q.waiting = q.waiting[1:]
	expected := t.service.learned.runTime(requirements.RunTime)
	t.service.outstandingWork += expected
	work := min(expected, q.work)
	q.work -= work
	q.key -= work / t.service.slotDivisor
	p.adjustCounts(q, -1, -work)
	t.service.virtualTime = max(t.service.virtualTime, time.Duration(t.round)*p.limits.Quantum)
	p.use(t, expected)
	t.team.countStart()
	p.output.add(q, a, index, p.startRank(q))
	p.outstandingTasks[q.job.Submission]++
	p.sequence++
	a.lastChosen = p.sequence
	a.reserve(taskRef{q.job.Submission, index}, outstanding{reserved: requirements, queue: t, expected: expected, bulk: q.bulk})
	p.rerank(a)
	if len(q.waiting) == 0 {
		delete(p.jobs, q.job.Submission)
		t.jobs.remove(q.position)
	}
	p.updateTurn(t)
}

// reserve returns how much credit a job leaves to others at each agent: DebtReserve
// if its team is ahead of others, Reserve if the job is large.
func (p *Placer) reserve(q *queuedJob) int {
	s := q.queue.service
	switch {
	case p.aheadOfOthers(q.queue):
		return p.limits.DebtReserve
	case q.total/s.slotDivisor > p.limits.LargeWork:
		return p.limits.Reserve
	}
	return 0
}

// aheadOfOthers reports whether a team has used so much more slot time than others that
// it yields to them.
func (p *Placer) aheadOfOthers(t *teamQueue) bool {
	return t.virtualTime-t.service.virtualTime > yieldQuanta*p.limits.Quantum
}

// sameForTeam reports whether all jobs of a job's team need as much free credit as the
// job itself.
func (p *Placer) sameForTeam(q *queuedJob) bool {
	t := q.queue
	if q.bulk {
		return t.bulk == t.waiting
	}
	return t.bulk == 0 && p.aheadOfOthers(t)
}

// yieldQuanta is the number of quanta by which a team must be ahead to leave DebtReserve.
const yieldQuanta = 1

// pick returns the best agent that can take the task now, or nil. It reports full if no
// agent has the credit for a task of the job, whatever the task's requirements.
func (p *Placer) pick(s *service, q *queuedJob, requirements Requirements) (best *membership, full bool) {
	reserve := p.reserve(q)
	for i, member := range s.available.items {
		if i >= maxCandidates {
			break
		}
		if !p.hasCredit(member.agent, q, reserve) {
			if p.output.sendsNothing() && member.agent.health.state != stateProbing {
				// The remaining agents have less free credit, and no message goes to them.
				return best, best == nil
			}
			continue
		}
		if !member.agent.fits(requirements) {
			continue
		}
		if i == 0 {
			return member, false
		}
		if best == nil || membershipBefore(member, best) {
			best = member
		}
	}
	return best, false
}

// hasCredit reports whether an agent has the credit for a task of a job now.
func (p *Placer) hasCredit(a *agent, q *queuedJob, reserve int) bool {
	if q.bulk {
		return p.hasBulkCredit(q.queue.service, a)
	}
	return a.freeCredit() > 0 && (reserve == 0 || p.leavesReserve(a, reserve))
}

// leavesReserve reports whether an agent can take a task and keep the reserve free for
// others. Unless the current dispatch sends it a message anyway, it must be able to take
// a whole batch, so that tasks that wait long travel in few messages. At an agent that
// has set no credit no start may wait, so nothing is reserved there.
func (p *Placer) leavesReserve(a *agent, reserve int) bool {
	if !a.creditSet {
		return true
	}
	if a.dispatch != p.output.dispatch {
		reserve += p.limits.Batch
	}
	return a.freeCredit() > min(reserve, a.credit-1)
}

// sendsNothing reports whether the current dispatch has scheduled no task yet.
func (o *output) sendsNothing() bool { return len(o.assignments) == 0 }

func (o *output) reset() {
	o.dispatch++
	o.assignments = o.assignments[:0]
	o.meta = o.meta[:0]
	o.placements = o.placements[:0]
	o.tasks = o.tasks[:0]
}

// add adds a task to the agent's batch of the job and creates the batch if necessary.
func (o *output) add(q *queuedJob, a *agent, index uint16, work time.Duration) {
	i := -1
	if a.dispatch == o.dispatch {
		i = a.batch
	}
	previous := i
	for i >= 0 && o.meta[i].job != q {
		i = o.meta[i].previous
	}
	if i < 0 {
		i = len(o.meta)
		o.meta = append(o.meta, assignmentMeta{job: q, previous: previous})
		o.assignments = append(o.assignments, Assignment{Agent: a.peer, Submission: q.job.Submission, Work: work})
		a.batch = i
		a.dispatch = o.dispatch
	}
	o.meta[i].count++
	o.placements = append(o.placements, placement{assignment: i, index: index})
}

// gather fills in the tasks of each assignment and returns the assignments.
func (o *output) gather() []Assignment {
	if cap(o.tasks) < len(o.placements) {
		o.tasks = make([]uint16, 0, 2*len(o.placements))
	}
	for i := range o.assignments {
		from := len(o.tasks)
		o.tasks = o.tasks[:from+o.meta[i].count]
		o.assignments[i].Tasks = o.tasks[from:from:len(o.tasks)]
	}
	for _, m := range o.placements {
		a := &o.assignments[m.assignment]
		a.Tasks = append(a.Tasks, m.index)
	}
	return o.assignments
}
