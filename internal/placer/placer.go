// Package placer decides which waiting task goes to which agent, and when.
//
// Tasks wait in one queue a service. An agent gives each entry a credit: the
// number of tasks the entry may have outstanding there. A task leaves the queue
// only when an agent that serves it has a free credit and enough free memory and
// accelerators, so it binds to an agent as late as possible. The package does no
// I/O: events come in with a time, and [Placer.Dispatch] returns what to send.
package placer

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Limits are the settings of a placer.
type Limits struct {
	// MaxQueued bounds the tasks that wait in all queues.
	MaxQueued int
}

// Need is what a task takes while it runs, as declared or learned.
type Need struct {
	RunTime      time.Duration
	MemoryBytes  int64
	Accelerators int
}

// Job is a submission whose tasks are to be placed.
type Job struct {
	Submission identifier.Submission
	Service    string
	Team       string
	Deadline   time.Time
	Needs      []Need   // Needs has one entry a task of the submission.
	Tasks      []uint16 // Tasks are those to place, in order.
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
}

// Place is where an agent stands.
type Place struct {
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
	limits Limits
	agents map[messenger.Peer]*agent
	order  []*agent // order has the agents in order of arrival.
	queues map[string][]*queued
	jobs   map[identifier.Submission]*queued
	queue  int // queue is the number of tasks that wait.
	holds  map[messenger.Peer]Hold
}

type agent struct {
	peer     messenger.Peer
	place    Place
	capacity messenger.Capacity
	credit   int
	hold     Hold
	// sent has the tasks that are outstanding at the agent with their needs.
	sent map[taskRef]Need
	// freeMemory and freeAccelerators are what the outstanding tasks leave.
	freeMemory       int64
	freeAccelerators int
}

type taskRef struct {
	submission identifier.Submission
	index      uint16
}

type queued struct {
	job     Job
	waiting []uint16 // waiting has the tasks to place, in order.
}

// New returns a placer without agents.
func New(limits Limits) *Placer {
	return &Placer{
		limits: limits,
		agents: make(map[messenger.Peer]*agent),
		queues: make(map[string][]*queued),
		jobs:   make(map[identifier.Submission]*queued),
	}
}

// Queued returns the number of tasks that wait.
func (p *Placer) Queued() int { return p.queue }

// AgentUp adds an agent, which serves nothing until its capacity is set.
func (p *Placer) AgentUp(_ time.Time, peer messenger.Peer, place Place) {
	p.AgentDown(time.Time{}, peer)
	a := &agent{peer: peer, place: place, hold: p.holds[peer], sent: make(map[taskRef]Need)}
	p.agents[peer] = a
	p.order = append(p.order, a)
}

// AgentDown removes an agent and what was outstanding there.
func (p *Placer) AgentDown(_ time.Time, peer messenger.Peer) {
	delete(p.agents, peer)
	p.order = slices.DeleteFunc(p.order, func(a *agent) bool { return a.peer == peer })
}

// SetCapacity applies what an agent says about its upstream.
func (p *Placer) SetCapacity(_ time.Time, peer messenger.Peer, c messenger.Capacity) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	a.freeMemory += c.MemoryBytes - a.capacity.MemoryBytes
	a.freeAccelerators += c.Accelerators - a.capacity.Accelerators
	a.capacity = c
	a.credit = c.Slots
}

// SetCredit applies the number of tasks that may be outstanding at an agent.
func (p *Placer) SetCredit(_ time.Time, peer messenger.Peer, limit int) {
	if a := p.agents[peer]; a != nil {
		a.credit = limit
	}
}

// Enqueue takes the tasks of a job into the queue or says why not.
func (p *Placer) Enqueue(_ time.Time, j Job) Refusal {
	if refusal := p.admit(&j); refusal.Reason != "" {
		return refusal
	}
	q := &queued{job: j, waiting: slices.Clone(j.Tasks)}
	p.jobs[j.Submission] = q
	p.queues[j.Service] = append(p.queues[j.Service], q)
	p.queue += len(q.waiting)
	return Refusal{}
}

// Requeue puts a task of a known job back to the front of its queue.
func (p *Placer) Requeue(_ time.Time, j Job, index uint16) {
	q := p.jobs[j.Submission]
	if q == nil {
		q = &queued{job: j}
		p.jobs[j.Submission] = q
		p.queues[j.Service] = slices.Insert(p.queues[j.Service], 0, q)
	}
	q.waiting = append(q.waiting, index)
	p.queue++
}

// Drop removes the waiting tasks of a job.
func (p *Placer) Drop(s identifier.Submission) {
	q := p.jobs[s]
	if q == nil {
		return
	}
	p.queue -= len(q.waiting)
	delete(p.jobs, s)
	service := q.job.Service
	p.queues[service] = slices.DeleteFunc(p.queues[service], func(o *queued) bool { return o == q })
}

// Ended applies the end of a task and frees its place.
func (p *Placer) Ended(_ time.Time, e End) {
	a := p.agents[e.Agent]
	if a == nil {
		return
	}
	ref := taskRef{e.Submission, e.Index}
	need, ok := a.sent[ref]
	if !ok {
		return
	}
	delete(a.sent, ref)
	a.freeMemory += need.MemoryBytes
	a.freeAccelerators += need.Accelerators
}

// Cancelled applies an agent's answer to the cancellation of a submission: of its
// outstanding tasks there, all but the started ones will never start.
func (p *Placer) Cancelled(_ time.Time, peer messenger.Peer, s identifier.Submission, started []uint16) {
	a := p.agents[peer]
	if a == nil {
		return
	}
	for ref, need := range a.sent {
		if ref.submission != s || slices.Contains(started, ref.index) {
			continue
		}
		delete(a.sent, ref)
		a.freeMemory += need.MemoryBytes
		a.freeAccelerators += need.Accelerators
	}
}

// Dispatch takes tasks from the queues as far as credits allow and returns them
// as one batch for each job and agent.
func (p *Placer) Dispatch(_ time.Time) []Assignment {
	var out []Assignment
	for service, queue := range p.queues {
		n := 0
		for n < len(queue) && p.dispatchJob(queue[n], &out) {
			delete(p.jobs, queue[n].job.Submission)
			n++
		}
		p.queues[service] = slices.Delete(queue, 0, n)
	}
	return out
}

// dispatchJob places what it can and reports whether nothing of the job waits.
func (p *Placer) dispatchJob(q *queued, out *[]Assignment) bool {
	first := len(*out)
	for len(q.waiting) > 0 {
		index := q.waiting[0]
		need := q.job.Needs[index]
		a := p.pick(q.job.Service, need)
		if a == nil {
			return false
		}
		a.sent[taskRef{q.job.Submission, index}] = need
		a.freeMemory -= need.MemoryBytes
		a.freeAccelerators -= need.Accelerators
		q.waiting = q.waiting[1:]
		p.queue--
		addTask(out, first, a.peer, q.job.Submission, index)
	}
	return true
}

// pick returns the agent with the most free credit that can hold the task now.
func (p *Placer) pick(service string, need Need) *agent {
	var best *agent
	for _, a := range p.order {
		if !a.serves(service) || a.free() <= 0 || !a.holds(need) {
			continue
		}
		if best == nil || cmp.Compare(a.free(), best.free()) > 0 {
			best = a
		}
	}
	return best
}

// admit says whether a job may enter the queue.
func (p *Placer) admit(j *Job) Refusal {
	if p.queue+len(j.Tasks) > p.limits.MaxQueued {
		return Refusal{
			Reason:     submitter.ReasonOverloaded,
			Detail:     "the queue holds as many tasks as its limit allows",
			RetryAfter: time.Second,
		}
	}
	served := false
	for _, a := range p.order {
		served = served || a.serves(j.Service)
	}
	if !served {
		return Refusal{
			Reason:     submitter.ReasonNoUpstream,
			Detail:     "no upstream serves " + j.Service + " now",
			RetryAfter: time.Second,
		}
	}
	for i, need := range j.Needs {
		if !p.fitsSomewhere(j.Service, need) {
			return neverFits(i)
		}
	}
	return Refusal{}
}

func (p *Placer) fitsSomewhere(service string, need Need) bool {
	return slices.ContainsFunc(p.order, func(a *agent) bool {
		return a.serves(service) &&
			need.MemoryBytes <= a.capacity.MemoryBytes &&
			need.Accelerators <= a.capacity.Accelerators
	})
}

func (a *agent) serves(service string) bool {
	return a.hold == "" && a.capacity.State == messenger.UpstreamServing && slices.Contains(a.capacity.Services, service)
}

func (a *agent) free() int { return a.credit - len(a.sent) }

func (a *agent) holds(need Need) bool {
	return need.MemoryBytes <= a.freeMemory && need.Accelerators <= a.freeAccelerators
}

// addTask adds a task to the agent's batch among out[first:], or begins one.
func addTask(out *[]Assignment, first int, peer messenger.Peer, s identifier.Submission, index uint16) {
	for i := first; i < len(*out); i++ {
		if (*out)[i].Agent == peer {
			(*out)[i].Tasks = append((*out)[i].Tasks, index)
			return
		}
	}
	*out = append(*out, Assignment{Agent: peer, Submission: s, Tasks: []uint16{index}})
}

// Serving returns the number of agents whose upstream takes work.
func (p *Placer) Serving() int {
	n := 0
	for _, a := range p.order {
		if a.capacity.State == messenger.UpstreamServing {
			n++
		}
	}
	return n
}
