// Package placer decides which waiting task goes to which agent, and when.
//
// Tasks wait in one queue a service and team. An agent gives each entry a credit:
// the number of tasks the entry may have outstanding there. A task leaves its
// queue only when an agent that serves it has a free credit and enough free
// memory and accelerators, so it binds to an agent as late as possible. Teams
// take turns by the slot time they have used; the jobs of a team are ordered by
// the work that is left of them and by their age. Agents are ranked by free
// credit in a heap a service, so that a decision takes logarithmic time.
//
// The results of tasks correct what callers declare, eject agents that fail or
// are slow, and give back credits. The package does no I/O: events come in with
// a time, and [Placer.Dispatch] returns what to send.
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

// Need is what a task takes while it runs, as declared.
type Requirements struct {
	RunTime      time.Duration
	MemoryBytes  int64
	Accelerators int
}

// Job is a submission whose tasks are to be placed.
type Job struct {
	Submission   identifier.Submission
	Service      string
	Team         string
	Deadline     time.Time
	Requirements []Requirements // Needs has one entry a task of the submission.
	Tasks        []uint16       // Tasks are those to place, in order.
}

// Refusal says why a job is not taken. The zero value takes it.
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
	// Work is how long what is left of the job is expected to take on all slots.
	Work time.Duration
}

// Place is where an agent stands.
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
	order        []*agent // order has the agents in order of arrival.
	services     map[string]*service
	serviceOrder []*service
	teams        map[string]*team
	entries      int // entries is the number of entries that divide the quotas.
	quotas       []Quota
	jobs         map[identifier.Submission]*queuedJob
	// open counts the outstanding tasks of each job. A job that was dropped has a
	// negative count: how its tasks end says nothing about their agents.
	outstandingTasks map[identifier.Submission]int
	holds            map[messenger.Peer]Hold
	ejections        uint64 // ejections counts those by results, ever.
	waiting          int    // waiting is the number of tasks that wait.
	ejected          int    // ejected is the number of agents that are ejected or probed.
	hasResults       bool
	retries          *budgeter.Budgeter
	delayed          []delayedTask // delayed has the tasks that are placed again later.
	throttled        []*teamQueue  // throttled has the teams whose quota is used up.
	started          time.Time     // started is the time of the first event.
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

// Queued returns the number of tasks that wait.
func (p *Placer) Queued() int { return p.waiting + len(p.delayed) }

// Serving returns the number of agents whose upstream takes work.
func (p *Placer) Serving() int {
	n := 0
	for _, a := range p.order {
		if a.serving() {
			n++
		}
	}
	return n
}

// AgentUp adds an agent, which serves nothing until its capacity is set. An
// agent that comes later than the first task result starts with few tasks.
func (p *Placer) AgentUp(_ time.Time, peer messenger.Peer, place Location) {
	p.AgentDown(time.Time{}, peer)
	a := &agent{peer: peer, place: place, hold: p.holds[peer], sent: make(map[taskRef]outstanding)}
	a.health = health{state: stateNormal, maxOutstanding: unlimited}
	if p.hasResults {
		a.health = health{state: stateReturning, maxOutstanding: p.limits.SlowStart}
	}
	p.agents[peer] = a
	p.order = append(p.order, a)
}

// AgentDown removes an agent and what was outstanding there.
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

// SetCapacity applies what an agent says about its upstream. Until the agent
// sets a credit, every slot is one.
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

// MemoryBytes returns the memory to set aside for a task of a service: what results
// have taught, or else what is declared.
func (p *Placer) MemoryReservation(service string, declared int64) int64 {
	if s := p.services[service]; s != nil {
		return s.learned.memoryBytes(declared)
	}
	return declared
}

// Enqueue takes the tasks of a job into the queue or says why not.
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

// Drop removes the waiting tasks of a job.
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

// Ended applies the end of a task and frees its place.
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
		p.charge(o.queue, e.RunTime-o.queue.service.learned.runTime(o.need.RunTime))
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

// Disown frees the places of tasks whose results will go to another entry.
func (p *Placer) ReleaseTransferred(now time.Time, gone func(identifier.Submission) bool) {
	p.recordStart(now)
	for _, a := range p.order {
		for ref, o := range a.sent {
			if gone(ref.submission) {
				p.releaseTask(now, a, ref, o)
			}
		}
		p.rerank(a)
	}
}

// vacate frees the place of a task without a result.
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

// learn applies what the result of a task that ran says about its service, its
// agent and its team's use of slots.
func (p *Placer) recordResult(now time.Time, a *agent, o outstanding, e *End) {
	p.hasResults = true
	s := o.queue.service
	expected := s.learned.runTime(o.need.RunTime)
	p.charge(o.queue, e.RunTime-expected)
	usual := s.learned.meanRunTime()
	if usual > 0 {
		usual = max(usual, expected)
	}
	if e.Kind == messenger.ResultDone && a.health.state != stateProbing && a.health.slowness < math.Log(p.limits.SlowFactor) {
		s.learned.learn(o.need.RunTime, e.RunTime, e.PeakMemoryBytes)
	}
	if seat := findMembership(a.memberships, s.name); seat != nil {
		p.observe(now, seat, e, usual)
	}
}

// touch records the time of the first event, from which ages count.
func (p *Placer) recordStart(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}
