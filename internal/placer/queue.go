package placer

import (
	"cmp"
	"slices"
	"time"
)

// service is the queue of one service and the agents that serve it.
type service struct {
	name    string
	members []*seat            // members has every agent that serves the service.
	seats   ranked[*seat]      // seats has the members that can take a task now.
	teams   ranked[*teamQueue] // teams has the teams with waiting tasks that may start.
	queues  map[string]*teamQueue
	virtual time.Duration // virtual is the least slot time of a team that was served last.
	credits int           // credits is how many tasks this entry may have outstanding.
	work    time.Duration // work is the expected run time of all tasks that wait.
	sent    time.Duration // sent is the expected run time of all tasks at agents.
	waiting int           // waiting is the number of tasks that wait.
	deep    int           // deep is the number of tasks of deep jobs that wait.
	// used is the slot time of the tasks that have ended since usedSince, and
	// throughput that of the window before, in slots.
	used       time.Duration
	usedSince  time.Time
	throughput float64
	divisor    time.Duration // divisor is the number of slots that keys were last computed with.
	learned    estimate
}

// teamQueue has the jobs of one team that wait for one service.
type teamQueue struct {
	team     *team
	service  *service
	position int // position is that in service.teams, -1 while nothing may start.
	// used is the virtual slot time of the team in the service. A team that was
	// idle does not save up.
	used    time.Duration
	class   int64 // class is used in units of the quantum.
	jobs    ranked[*queued]
	work    time.Duration
	waiting int
	deep    int // deep is the part of waiting that is of deep jobs.
	// throttled means that the queue is in Placer.throttled and not in service.teams.
	throttled bool
}

// queued is a job with waiting tasks.
type queued struct {
	job      Job
	waiting  []uint16 // waiting has the tasks to place, in order.
	work     time.Duration
	total    time.Duration // total is work as it was when the job was enqueued.
	arrived  time.Duration
	key      time.Duration // key orders the jobs of a team; the least goes first.
	sequence uint64
	position int  // position is that in queue.jobs, -1 while none.
	deep     bool // deep means that tasks may wait beyond the credits.
	queue    *teamQueue
}

// service returns the queue of a service, which it makes if there is none.
func (p *Placer) service(name string) *service {
	if s := p.services[name]; s != nil {
		return s
	}
	s := &service{name: name, queues: make(map[string]*teamQueue)}
	s.learned.minSamples = p.limits.MinSamples
	s.seats.before = seatBefore
	s.seats.moved = func(s *seat, position int) { s.position = position }
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
	q.jobs.moved = func(j *queued, position int) { j.position = position }
	s.queues[name] = q
	q.team.queues = append(q.team.queues, q)
	return q
}

// turnBefore orders teams by used slot time in steps of the quantum, then by
// their first jobs.
func turnBefore(a, b *teamQueue) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	return jobBefore(a.jobs.items[0], b.jobs.items[0])
}

func jobBefore(a, b *queued) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.sequence < b.sequence
}

// add puts a job with waiting tasks into its team's queue.
func (p *Placer) add(q *queued) {
	t := q.queue
	if t.waiting == 0 {
		t.used = max(t.used, t.service.virtual)
		t.class = int64(t.used / p.limits.Quantum)
	}
	p.deepen(q)
	p.count(q, len(q.waiting), q.work)
	p.setKey(q)
	t.jobs.push(q)
	p.returnTurn(t)
}

// count adjusts the numbers of waiting tasks and their work.
func (p *Placer) count(q *queued, tasks int, work time.Duration) {
	p.waiting += tasks
	q.queue.waiting += tasks
	q.queue.work += work
	q.queue.service.waiting += tasks
	q.queue.service.work += work
	if q.deep {
		q.queue.deep += tasks
		q.queue.service.deep += tasks
	}
}

// setKey computes the place of a job among its team's: the time that its waiting
// work takes on all slots, later by what it has waited less.
func (p *Placer) setKey(q *queued) {
	s := q.queue.service
	s.divisor = time.Duration(max(1, s.credits))
	aged := time.Duration(float64(q.arrived) * p.limits.Ageing)
	q.key = aged + q.work/s.divisor
}

// share returns how many slots this entry can count on: its equal part of all, or
// what it has used lately if that was more.
func (s *service) share(entries int) int {
	n := 0
	for _, m := range s.members {
		if m.agent.serving() && m.agent.held == "" && m.agent.health.allowed > 0 {
			n += m.agent.capacity.Slots
		}
	}
	return min(n, max(1, n/entries, int(s.throughput)))
}

// throughputWindow is how long ends are counted for a throughput.
const throughputWindow = time.Second

// ended counts the end of a task.
func (s *service) ended(now time.Time, expected, took time.Duration) {
	s.sent -= expected
	s.used += took
	if window := now.Sub(s.usedSince); window >= throughputWindow {
		s.throughput = s.used.Seconds() / window.Seconds()
		s.used = 0
		s.usedSince = now
	}
}

// returnTurn puts a team into the order of its service, or moves it there.
func (p *Placer) returnTurn(t *teamQueue) {
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
func (p *Placer) takeOut(q *queued) {
	if q.position >= 0 {
		q.queue.jobs.remove(q.position)
	}
	p.returnTurn(q.queue)
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
	t.used = min(t.used+d, max(t.used, t.service.virtual+p.limits.MaxDebt))
	t.class = int64(t.used / p.limits.Quantum)
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
func (q *queued) front(index uint16) { q.waiting = slices.Insert(q.waiting, 0, index) }
