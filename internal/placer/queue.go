package placer

import (
	"cmp"
	"slices"
	"time"
)

// service is the queue of one service and the agents that serve it.
type service struct {
	name            string
	members         []*membership       // every agent that serves the service
	available       ranked[*membership] // the members that can take a task now
	teams           ranked[*teamQueue]  // teams with waiting tasks that are not throttled
	queues          map[string]*teamQueue
	virtualTime     time.Duration // virtual time of the latest team served, by which idle teams are advanced
	credits         int           // number of tasks that this entry may have outstanding
	work            time.Duration // expected run time of all queued tasks
	outstandingWork time.Duration // expected run time of all outstanding tasks
	waiting         int           // number of queued tasks
	bulk            int           // number of queued tasks of bulk jobs
	// slotTime is the run time of the tasks that ended since windowStart. throughput is
	// the mean number of slots in use in the previous window.
	slotTime    time.Duration
	windowStart time.Time
	throughput  float64
	slotDivisor time.Duration // number of slots with which job keys were last computed
	learned     estimate
}

// teamQueue holds the jobs of one team that wait for one service.
type teamQueue struct {
	team     *team
	service  *service
	position int // index in service.teams, -1 while no job may start
	// virtualTime is the slot time charged to the team in the service. A team that was
	// idle is advanced to the service's virtual time, so that it saves up nothing.
	virtualTime time.Duration
	round       int64 // virtualTime in whole quanta
	jobs        ranked[*queuedJob]
	work        time.Duration
	waiting     int
	bulk        int // number of the waiting tasks that belong to bulk jobs
	// A throttled queue is in Placer.throttled and not in service.teams.
	throttled bool
}

// queued is a job with waiting tasks.
type queuedJob struct {
	job      Job
	waiting  []uint16 // indices of the tasks to schedule, in order
	work     time.Duration
	total    time.Duration // work when the job was enqueued
	arrived  time.Duration
	key      time.Duration // orders the jobs of a team; the least goes first
	sequence uint64
	position int  // index in queue.jobs, -1 while not in it
	bulk     bool // whether tasks may wait at agents beyond the credits
	queue    *teamQueue
}

// service returns the queue of a service and creates it if necessary.
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

// queueOf returns the queue of a team in a service and creates it if necessary.
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

// turnBefore orders teams by virtual time in whole quanta, then by their first jobs.
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

// addJob adds a job with waiting tasks to its team's queue.
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

// adjustCounts adjusts the numbers of waiting tasks and their work.
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

// setKey computes the key that orders a job among its team's: the expected time of its
// waiting work on all slots, plus its arrival time weighted by Ageing.
func (p *Placer) setKey(q *queuedJob) {
	s := q.queue.service
	s.slotDivisor = time.Duration(max(1, s.credits))
	aged := time.Duration(float64(q.arrived) * p.limits.Ageing)
	q.key = aged + q.work/s.slotDivisor
}

// share returns how many slots this entry can count on: its equal share of all slots,
// or its recent throughput if that was more. It is at least 1, because the placer may
// have ejected the only upstream of the service until the next probe.
func (s *service) share(entries int) int {
	n := 0
	for _, m := range s.members {
		if m.agent.accepting() && m.agent.health.maxOutstanding > 0 {
			n += m.agent.capacity.Slots
		}
	}
	return max(1, min(n, max(n/entries, int(s.throughput))))
}

// throughputWindow is the period over which throughput is measured.
const throughputWindow = time.Second

// ended updates the outstanding work and the throughput when a task ends.
func (s *service) ended(now time.Time, expected, took time.Duration) {
	s.outstandingWork -= expected
	s.slotTime += took
	if window := now.Sub(s.windowStart); window >= throughputWindow {
		s.throughput = s.slotTime.Seconds() / window.Seconds()
		s.slotTime = 0
		s.windowStart = now
	}
}

// updateTurn adds a team to the order of its service, moves it there, or removes it if
// it has no jobs.
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

// removeJob removes a job from its team's queue.
func (p *Placer) removeJob(q *queuedJob) {
	if q.position >= 0 {
		q.queue.jobs.remove(q.position)
	}
	p.updateTurn(q.queue)
}

// charge adds slot time to a team's virtual time and updates the team's turn.
func (p *Placer) charge(t *teamQueue, d time.Duration) {
	p.use(t, d)
	if t.position >= 0 {
		t.service.teams.fix(t.position)
	}
}

// use adds slot time to a team's virtual time. Its lead over the service's virtual time
// is bounded by MaxDebt, so that a team that was alone with much work is not starved
// when other teams arrive.
func (p *Placer) use(t *teamQueue, d time.Duration) {
	t.virtualTime = min(t.virtualTime+d, max(t.virtualTime, t.service.virtualTime+p.limits.MaxDebt))
	t.round = int64(t.virtualTime / p.limits.Quantum)
}

// workOf returns the total expected run time of the given tasks of a job.
func (s *service) workOf(j *Job, tasks []uint16) time.Duration {
	var sum time.Duration
	for _, index := range tasks {
		sum += s.learned.runTime(j.Requirements[index].RunTime)
	}
	return sum
}

// longestFirst returns the tasks of a job by descending expected run time, so that a
// long task does not start last and prolong the job.
func (s *service) longestFirst(j *Job) []uint16 {
	tasks := slices.Clone(j.Tasks)
	slices.SortStableFunc(tasks, func(a, b uint16) int {
		return cmp.Compare(s.learned.runTime(j.Requirements[b].RunTime), s.learned.runTime(j.Requirements[a].RunTime))
	})
	return tasks
}

// prepend puts a task before the other waiting tasks of a job.
func (q *queuedJob) prepend(index uint16) { q.waiting = slices.Insert(q.waiting, 0, index) }
