package placer

import (
	"time"
)

// output gathers what one dispatch decides. Its memory is used again by the next.
type output struct {
	dispatch    uint64 // dispatch counts the calls of Dispatch.
	assignments []Assignment
	meta        []assignmentMeta // meta has one entry an assignment.
	placements  []placement
	tasks       []uint16 // tasks is the memory of the assignments' tasks.
	blocked     []*queued
}

type assignmentMeta struct {
	job      *queued
	previous int // previous is an earlier assignment for the same agent, -1 for none.
	count    int
}

type placement struct {
	assignment int
	index      uint16
}

// delayedTask is a task that is placed again when its time has come.
type delayedTask struct {
	due   time.Time
	job   Job
	index uint16
}

const (
	// maxBlocked bounds the jobs that one dispatch passes over in a service because
	// no agent with free credit has the memory or accelerators for them.
	maxBlocked = 16
	// maxTried bounds the agents that are looked at for one task.
	maxTried = 64
)

// Dispatch takes tasks from the queues as far as credits allow and returns them
// as one batch for each job and agent. What it returns is valid until the next
// call.
func (p *Placer) Dispatch(now time.Time) []Assignment {
	p.touch(now)
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

// Requeue puts a task of a known job back to the front of its queue, at once
// while the budget for placing again allows it and later otherwise.
func (p *Placer) Requeue(now time.Time, j Job, index uint16) {
	p.touch(now)
	if p.retries.Spend() {
		p.requeue(j, index)
		return
	}
	p.delayed = append(p.delayed, delayedTask{due: now.Add(p.retries.Pause(len(p.delayed) / 64)), job: j, index: index})
}

func (p *Placer) requeue(j Job, index uint16) {
	s := p.service(j.Service)
	work := s.learned.runTime(j.Needs[index].RunTime)
	if q := p.jobs[j.Submission]; q != nil {
		q.front(index)
		q.work += work
		p.count(q, 1, work)
		return
	}
	q := &queued{job: j, waiting: []uint16{index}, work: work, position: -1, queue: p.queueOf(s, j.Team)}
	p.jobs[j.Submission] = q
	p.add(q)
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

// dispatchService places tasks of one service until credits or tasks run out.
func (p *Placer) dispatchService(now time.Time, s *service) {
	for len(s.teams.items) > 0 && len(s.seats.items) > 0 && len(p.output.blocked) < maxBlocked {
		t := s.teams.items[0]
		if !t.team.mayStart(now) {
			s.teams.remove(t.position)
			t.throttled = true
			p.throttled = append(p.throttled, t)
			continue
		}
		q := t.jobs.items[0]
		need := q.job.Needs[q.waiting[0]]
		need.MemoryBytes = s.learned.memoryBytes(need.MemoryBytes)
		chosen := s.pick(need)
		if chosen == nil {
			p.output.blocked = append(p.output.blocked, q)
			p.takeOut(q)
			continue
		}
		p.place(q, chosen.agent, need)
	}
	for _, q := range p.output.blocked {
		q.queue.jobs.push(q)
		p.returnTurn(q.queue)
	}
	p.output.blocked = p.output.blocked[:0]
}

// place assigns the first waiting task of a job to an agent.
func (p *Placer) place(q *queued, a *agent, need Need) {
	t := q.queue
	index := q.waiting[0]
	q.waiting = q.waiting[1:]
	expected := t.service.learned.runTime(need.RunTime)
	work := min(expected, q.work)
	q.work -= work
	q.key -= work / t.service.divisor
	p.count(q, -1, -work)
	t.service.virtual = max(t.service.virtual, time.Duration(t.class)*p.limits.Quantum)
	t.used += expected
	t.class = int64(t.used / p.limits.Quantum)
	t.team.take()
	p.output.add(q, a, index)
	p.sequence++
	a.used = p.sequence
	a.hold(taskRef{q.job.Submission, index}, outstanding{need: need, queue: t})
	p.rerank(a)
	if len(q.waiting) == 0 {
		delete(p.jobs, q.job.Submission)
		t.jobs.remove(q.position)
	}
	p.returnTurn(t)
}

// pick returns the best agent that can hold the task now.
func (s *service) pick(need Need) *seat {
	var best *seat
	for i, seat := range s.seats.items {
		if i >= maxTried {
			break
		}
		if !seat.agent.holds(need) || best != nil && !seatBefore(seat, best) {
			continue
		}
		if i == 0 {
			return seat
		}
		best = seat
	}
	return best
}

func (o *output) reset() {
	o.dispatch++
	o.assignments = o.assignments[:0]
	o.meta = o.meta[:0]
	o.placements = o.placements[:0]
	o.tasks = o.tasks[:0]
}

// add adds a task to the agent's batch of the job, or begins one.
func (o *output) add(q *queued, a *agent, index uint16) {
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
		o.assignments = append(o.assignments, Assignment{Agent: a.peer, Submission: q.job.Submission})
		a.batch = i
		a.dispatch = o.dispatch
	}
	o.meta[i].count++
	o.placements = append(o.placements, placement{assignment: i, index: index})
}

// gather lays out the tasks of each assignment.
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
