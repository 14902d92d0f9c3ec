package placer

import (
	"cmp"
	"slices"
	"time"
)

// service is the queue of one service and the agents that serve it.
type service struct {
	name            string
	members         []*membership       // members has every agent that serves the service.
	available       ranked[*membership] // seats has the members that can take a task now.
	teams           ranked[*teamQueue]  // teams has the teams with waiting tasks that may start.
	queues          map[string]*teamQueue
	virtualTime     time.Duration // virtual is the least slot time of a team that was served last.
	credits         int           // credits is how many tasks this entry may have outstanding.
	work            time.Duration // work is the expected run time of all tasks that wait.
	outstandingWork time.Duration // sent is the expected run time of all tasks at agents.
	waiting         int           // waiting is the number of tasks that wait.
	bulk            int           // deep is the number of tasks of deep jobs that wait.
	// used is the slot time of the tasks that have ended since usedSince, and
	// throughput that of the window before, in slots.
	slotTime    time.Duration
	windowStart time.Time
	throughput  float64
	slotDivisor time.Duration // divisor is the number of slots that keys were last computed with.
	learned     estimate
}

// teamQueue has the jobs of one team that wait for one service.
type teamQueue struct {
	team     *team
	service  *service
	position int // position is that in service.teams, -1 while nothing may start.
	// used is the virtual slot time of the team in the service. A team that was
	// idle does not save up.
	virtualTime time.Duration
	round       int64 // class is used in units of the quantum.
	jobs        ranked[*queuedJob]
	work        time.Duration
	waiting     int
	bulk        int // deep is the part of waiting that is of deep jobs.
	// throttled means that the queue is in Placer.throttled and not in service.teams.
	throttled bool
}

// queued is a job with waiting tasks.
type queuedJob struct {
	job      Job
	waiting  []uint16 // waiting has the tasks to place, in order.
	work     time.Duration
	total    time.Duration // total is work as it was when the job was enqueued.
	arrived  time.Duration
	key      time.Duration // key orders the jobs of a team; the least goes first.
	sequence uint64
	position int  // position is that in queue.jobs, -1 while none.
	bulk     bool // deep means that tasks may wait beyond the credits.
	queue    *teamQueue
}

// service returns the queue of a service, which it makes if there is none.
func (p *Placer) service(name string) *service {
	if s := p.services[name]; s != nil {
		return s
	}
	s := &service{name: name, queues: make(map[string]*teamQueue)}
	s.learned.minSamples = p.limits.MinSamples
	s.available.before = membershipBefore
	s.available.moved = func(s *membership, position int) { s.position = position }
	s.teams.before = turnBefore
	s.teams.moved = func(q *teamQueue, position int) { q.position = position }
	p.services[name] = s
	p.serviceOrder = append(p.serviceOrder, s)
	return s
}

// queueOf returns the queue of a team in a service.
func (p *Placer) queueOf(s *service, name string) *teamQueue {
	if q := s.queues[name]; q != nil {
		return q
	}
	q := &teamQueue{team: p.team(name), service: s, position: -1}
	q.jobs.before = jobBefore
	q.jobs.moved = func(j *queuedJob, position int) { j.position = position }
	s.queues[name] = q
	q.team.queues = append(q.team.queues, q)
	return q
}

// turnBefore orders teams by used slot time in steps of the quantum, then by
// their first jobs.
func turnBefore(a, b *teamQueue) bool {
	if a.round != b.round {
		return a.round < b.round
	}
	return jobBefore(a.jobs.items[0], b.jobs.items[0])
}

func jobBefore(a, b *queuedJob) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.sequence < b.sequence
}

// add puts a job with waiting tasks into its team's queue.
func (p *Placer) addJob(q *queuedJob) {
	t := q.queue
	if t.waiting == 0 {
		t.virtualTime = max(t.virtualTime, t.service.virtualTime)
		t.round = int64(t.virtualTime / p.limits.Quantum)
	}
	p.classify(q)
	p.adjustCounts(q, len(q.waiting), q.work)
	p.setKey(q)
	t.jobs.push(q)
	p.updateTurn(t)
}

// count adjusts the numbers of waiting tasks and their work.
func (p *Placer) adjustCounts(q *queuedJob, tasks int, work time.Duration) {
	p.waiting += tasks
	q.queue.waiting += tasks
	q.queue.work += work
	q.queue.service.waiting += tasks
	q.queue.service.work += work
	if q.bulk {
		q.queue.bulk += tasks
		q.queue.service.bulk += tasks
	}
}

// setKey computes the place of a job among its team's: the time that its waiting
// work takes on all slots, later by what it has waited less.
func (p *Placer) setKey(q *queuedJob) {
	s := q.queue.service
	s.slotDivisor = time.Duration(max(1, s.credits))
	aged := time.Duration(float64(q.arrived) * p.limits.Ageing)
	q.key = aged + q.work/s.slotDivisor
}

// share returns how many slots this entry can count on: its equal part of all, or
// what it has used lately if that was more.
func (s *service) share(entries int) int {
	n := 0
	for _, m := range s.members {
		if m.agent.serving() && m.agent.hold == "" && m.agent.health.maxOutstanding > 0 {
			n += m.agent.capacity.Slots
		}
	}
	return min(n, max(1, n/entries, int(s.throughput)))
}

// throughputWindow is how long ends are counted for a throughput.
const throughputWindow = time.Second

// ended counts the end of a task.
func (s *service) ended(now time.Time, expected, took time.Duration) {
	s.outstandingWork -= expected
	s.slotTime += took
	if window := now.Sub(s.windowStart); window >= throughputWindow {
		s.throughput = s.slotTime.Seconds() / window.Seconds()
		s.slotTime = 0
		s.windowStart = now
	}
}

// returnTurn puts a team into the order of its service, or moves it there.
func (p *Placer) updateTurn(t *teamQueue) {
	switch {
	case len(t.jobs.items) == 0:
		if t.position >= 0 {
			t.service.teams.remove(t.position)
		}
	case t.throttled:
	case t.position < 0:
		t.service.teams.push(t)
	default:
		t.service.teams.fix(t.position)
	}
}

// takeOut removes a job that is in its team's queue.
func (p *Placer) removeJob(q *queuedJob) {
	if q.position >= 0 {
		q.queue.jobs.remove(q.position)
	}
	p.updateTurn(q.queue)
}

// charge adds slot time to a team's account.
func (p *Placer) charge(t *teamQueue, d time.Duration) {
	p.use(t, d)
	if t.position >= 0 {
		t.service.teams.fix(t.position)
	}
}

// use adds slot time to a team's account. The debt is bounded, so that a team
// which was alone with much work is not shut out once others come.
func (p *Placer) use(t *teamQueue, d time.Duration) {
	t.virtualTime = min(t.virtualTime+d, max(t.virtualTime, t.service.virtualTime+p.limits.MaxDebt))
	t.round = int64(t.virtualTime / p.limits.Quantum)
}

// workOf returns the expected run time of tasks of a job.
func (s *service) workOf(j *Job, tasks []uint16) time.Duration {
	var sum time.Duration
	for _, index := range tasks {
		sum += s.learned.runTime(j.Requirements[index].RunTime)
	}
	return sum
}

// longestFirst returns the tasks of a job, those expected to take longest first,
// so that a long one is not left for the end.
func (s *service) longestFirst(j *Job) []uint16 {
	tasks := slices.Clone(j.Tasks)
	slices.SortStableFunc(tasks, func(a, b uint16) int {
		return cmp.Compare(s.learned.runTime(j.Requirements[b].RunTime), s.learned.runTime(j.Requirements[a].RunTime))
	})
	return tasks
}

// front puts a task before the others of a job.
func (q *queuedJob) prepend(index uint16) { q.waiting = slices.Insert(q.waiting, 0, index) }
