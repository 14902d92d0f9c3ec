// Package placer decides which waiting task goes to which agent, and when.
//
// Tasks wait in one queue a service and team. An agent gives each entry a credit:
// the number of tasks the entry may have outstanding there. A task leaves its
// queue only when an agent that serves it has a free credit and enough free
// memory and accelerators, so it binds to an agent as late as possible. Teams
// take turns by the slot time they have used; the jobs of a team are ordered by
// their remaining work and their age. Each service keeps its agents in a heap by
// free credit, so that a decision takes logarithmic time.
//
// Task results correct the requirements that callers declare, eject agents that
// fail or are slow, and free credits. The package does no I/O: its callers pass in
// events with their time, and [Placer.Dispatch] returns the tasks to send.
package placer

import (
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/budgeter"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Requirements are the run time and the resources that a caller declares for a task.
type Requirements struct {
	RunTime      time.Duration
	MemoryBytes  int64
	Accelerators int
}

// Job is a submission with tasks to schedule.
type Job struct {
	Submission   identifier.Submission
	Service      string
	Team         string
	Deadline     time.Time
	Requirements []Requirements // one for each task of the submission, by task index
	Tasks        []uint16       // indices of the tasks to schedule, in order
}

// Refusal is the reason why a job is not admitted. The zero value admits it.
type Refusal struct {
	Reason     submitter.Reason
	Detail     string
	RetryAfter time.Duration
}

// Assignment is a batch of tasks of one job for one agent.
type Assignment struct {
	Agent      messenger.Peer
	Submission identifier.Submission
	Tasks      []uint16
	// Work ranks the tasks among the starts that wait at the agent, the least first:
	// the expected time of the job's work on all slots, see [Placer.startRank].
	Work time.Duration
}

// Location is the physical location of an agent.
type Location struct {
	Region     string
	DataCentre string
	Rack       string
}

// End is the end of a task that was dispatched.
type End struct {
	Agent           messenger.Peer
	Submission      identifier.Submission
	Index           uint16
	Kind            messenger.ResultKind
	Refusal         messenger.Refusal
	RunTime         time.Duration
	PeakMemoryBytes int64
}

// Placer is the state of all queues and of all agents that this entry knows.
type Placer struct {
	limits       Limits
	agents       map[messenger.Peer]*agent
	order        []*agent // in order of arrival
	services     map[string]*service
	serviceOrder []*service
	teams        map[string]*team
	entries      int // number of entries that share the quotas
	quotas       []Quota
	jobs         map[identifier.Submission]*queuedJob
	// outstandingTasks counts the outstanding tasks of each job. The count of a dropped
	// job is negated: its results are not used to judge agents.
	outstandingTasks map[identifier.Submission]int
	holds            Holds
	heldBack         []HeldBack
	ejections        uint64 // total number of ejections because of results
	waiting          int    // number of queued tasks
	ejected          int    // number of agents that are ejected or being probed
	hasResults       bool
	retries          *budgeter.Budgeter
	delayed          []delayedTask // tasks to reschedule after a backoff
	throttled        []*teamQueue  // team queues whose quota is used up
	started          time.Time     // time of the first event
	sequence         uint64
	output           output
}

// New returns a placer without agents.
func New(limits Limits) *Placer {
	limits = limits.withDefaults()
	return &Placer{
		limits:           limits,
		agents:           make(map[messenger.Peer]*agent),
		services:         make(map[string]*service),
		teams:            make(map[string]*team),
		entries:          1,
		jobs:             make(map[identifier.Submission]*queuedJob),
		outstandingTasks: make(map[identifier.Submission]int),
		retries:          budgeter.New(limits.RescheduleBudget, 1),
	}
}

// Queued returns the number of tasks that wait, including those that wait for a
// reschedule.
func (p *Placer) Queued() int { return p.waiting + len(p.delayed) }

// Serving returns the number of agents whose upstream accepts work.
func (p *Placer) Serving() int {
	n := 0
	for _, a := range p.order {
		if a.serving() {
			n++
		}
	}
	return n
}

// AgentUp adds an agent, which gets no tasks until its capacity is set. An agent
// that connects after the first task result has arrived goes through a slow start.
func (p *Placer) AgentUp(_ time.Time, peer messenger.Peer, place Location) {
	p.AgentDown(time.Time{}, peer)
	a := &agent{peer: peer, place: place, hold: p.holds.of(peer, place), sent: make(map[taskRef]outstanding)}
	a.health = health{state: stateNormal, maxOutstanding: unlimited}
	if p.hasResults {
		a.health = health{state: stateReturning, maxOutstanding: p.limits.SlowStart}
	}
	p.agents[peer] = a
	p.order = append(p.order, a)
}

// AgentDown removes an agent and its outstanding tasks.
func (p *Placer) AgentDown(_ time.Time, peer messenger.Peer) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	if a.health.state == stateEjected || a.health.state == stateProbing {
		p.ejected--
	}
	for ref, o := range a.sent {
		o.queue.service.outstandingWork -= o.expected
		countEnd(o.queue)
		p.closeTask(ref.submission)
	}
	a.capacity.Services = nil
	a.capacity.State = messenger.UpstreamAbsent
	p.updateMemberships(a)
	delete(p.agents, peer)
	p.order = slices.DeleteFunc(p.order, func(o *agent) bool { return o == a })
}

// SetCapacity applies the capacity that an agent reports for its upstream. Until
// the agent sets a credit, its credit is its number of slots.
func (p *Placer) SetCapacity(_ time.Time, peer messenger.Peer, c messenger.Capacity) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	a.freeMemory += c.MemoryBytes - a.capacity.MemoryBytes
	a.freeAccelerators += c.Accelerators - a.capacity.Accelerators
	same := slices.Equal(a.capacity.Services, c.Services)
	a.capacity = c
	if !a.creditSet {
		a.limit = c.Slots
		a.credit = c.Slots
	}
	if !same {
		p.updateMemberships(a)
	}
	p.rerank(a)
}

// SetCredit applies the number of tasks that may be outstanding at an agent.
func (p *Placer) SetCredit(_ time.Time, peer messenger.Peer, limit int) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	a.limit = limit
	a.credit = limit
	a.creditSet = true
	p.rerank(a)
}

// MemoryReservation returns the memory to reserve for a task of a service: the
// estimate from earlier results, or the declared value if there are too few of them.
func (p *Placer) MemoryReservation(service string, declared int64) int64 {
	if s := p.services[service]; s != nil {
		return s.learned.memoryBytes(declared)
	}
	return declared
}

// Enqueue admits a job and queues its tasks, or returns the reason for the refusal.
func (p *Placer) Enqueue(now time.Time, j Job) Refusal {
	p.recordStart(now)
	s := p.service(j.Service)
	if refusal := p.admit(now, s, &j); refusal.Reason != "" {
		return refusal
	}
	if len(j.Tasks) == 0 {
		return Refusal{}
	}
	p.sequence++
	q := &queuedJob{
		job:      j,
		waiting:  s.longestFirst(&j),
		work:     s.workOf(&j, j.Tasks),
		arrived:  now.Sub(p.started),
		sequence: p.sequence,
		position: -1,
		queue:    p.queueOf(s, j.Team),
	}
	q.total = q.work
	p.jobs[j.Submission] = q
	p.addJob(q)
	return Refusal{}
}

// Drop removes the queued tasks of a job.
func (p *Placer) Drop(s identifier.Submission) {
	p.delayed = slices.DeleteFunc(p.delayed, func(d delayedTask) bool { return d.job.Submission == s })
	if n := p.outstandingTasks[s]; n > 0 {
		p.outstandingTasks[s] = -n
	}
	q := p.jobs[s]
	if q == nil {
		return
	}
	delete(p.jobs, s)
	p.adjustCounts(q, -len(q.waiting), -q.work)
	p.removeJob(q)
}

// Ended applies the end of a task and releases its credit and resources.
func (p *Placer) Ended(now time.Time, e End) {
	p.recordStart(now)
	a := p.agents[e.Agent]
	if a == nil {
		return
	}
	o, ok := a.release(taskRef{e.Submission, e.Index})
	if !ok {
		return
	}
	countEnd(o.queue)
	o.queue.service.ended(now, o.expected, e.RunTime)
	dropped := p.closeTask(e.Submission)
	switch {
	case e.Kind == messenger.ResultRefused:
		a.refused(e.Refusal)
	case dropped:
		a.recovered()
		p.charge(o.queue, e.RunTime-o.queue.service.learned.runTime(o.reserved.RunTime))
	default:
		a.recovered()
		p.recordResult(now, a, o, &e)
	}
	p.rerank(a)
}

// Cancelled applies an agent's answer to the cancellation of a submission: of its
// outstanding tasks there, all but the started ones will never start.
func (p *Placer) Cancelled(now time.Time, peer messenger.Peer, s identifier.Submission, started []uint16) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	for ref, o := range a.sent {
		if ref.submission != s || slices.Contains(started, ref.index) {
			continue
		}
		p.releaseTask(now, a, ref, o)
	}
	p.rerank(a)
}

// ReleaseTransferred releases the outstanding tasks of the jobs for which transferred
// returns true: their results will go to another entry.
func (p *Placer) ReleaseTransferred(now time.Time, transferred func(identifier.Submission) bool) {
	p.recordStart(now)
	for _, a := range p.order {
		for ref, o := range a.sent {
			if transferred(ref.submission) {
				p.releaseTask(now, a, ref, o)
			}
		}
		p.rerank(a)
	}
}

// releaseTask releases the credit and resources of a task that ended without a result.
func (p *Placer) releaseTask(now time.Time, a *agent, ref taskRef, o outstanding) {
	a.release(ref)
	countEnd(o.queue)
	o.queue.service.ended(now, o.expected, 0)
	p.closeTask(ref.submission)
}

// closeTask counts the end of a task and reports whether its job was dropped.
func (p *Placer) closeTask(s identifier.Submission) bool {
	n := p.outstandingTasks[s]
	switch n {
	case -1, 0, 1:
		delete(p.outstandingTasks, s)
	default:
		p.outstandingTasks[s] = n - n/max(n, -n)
	}
	return n < 0
}

// recordResult updates the estimates of the service, the health of the agent and the
// slot time of the team with the result of a task that ran.
func (p *Placer) recordResult(now time.Time, a *agent, o outstanding, e *End) {
	p.hasResults = true
	s := o.queue.service
	expected := s.learned.runTime(o.reserved.RunTime)
	p.charge(o.queue, e.RunTime-expected)
	usual := s.learned.meanRunTime()
	if usual > 0 {
		usual = max(usual, expected)
	}
	if e.Kind == messenger.ResultDone && a.health.state != stateProbing && a.health.slowness < math.Log(p.limits.SlowFactor) {
		s.learned.learn(o.reserved.RunTime, e.RunTime, e.PeakMemoryBytes)
	}
	if member := findMembership(a.memberships, s.name); member != nil {
		p.observe(now, member, e, usual)
	}
}

// recordStart records the time of the first event. The ages of jobs count from it.
func (p *Placer) recordStart(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}
