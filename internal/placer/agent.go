package placer

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// agent is the placer's view of one agent and its upstream.
type agent struct {
	peer      messenger.Peer
	place     Location
	capacity  messenger.Capacity
	credit    int  // maximum of outstanding tasks: limit, or less after refusals
	limit     int  // the number of slots until the agent sets a limit
	creditSet bool // whether the agent has set the limit itself
	hold      Hold // set by an operator on the agent or its data centre; empty if there is none
	// sent holds the outstanding tasks.
	sent map[taskRef]outstanding
	// bulk counts the tasks in sent that belong to bulk jobs.
	bulk int
	// freeMemory and freeAccelerators are the capacity that outstanding tasks have not
	// reserved.
	freeMemory       int64
	freeAccelerators int
	memberships      []*membership // one for each service that the agent serves
	lastChosen       uint64        // sequence number of the latest task scheduled on the agent
	health           health

	// batch is the index of the agent's latest assignment in the current dispatch. It is
	// valid only if dispatch is the number of the current dispatch.
	batch    int
	dispatch uint64
}

// membership is an agent's place among the agents of one service.
type membership struct {
	agent    *agent
	service  *service
	position int // index in service.available, -1 while the agent accepts no task
	failing  int // consecutive failures of the service at the agent
	samples  int // number of results of the service at the agent
	credit   int // the agent's contribution to service.credits
}

type taskRef struct {
	submission identifier.Submission
	index      uint16
}

// outstanding is a task that was sent to an agent and has not ended.
type outstanding struct {
	reserved Requirements // reserved for the task
	queue    *teamQueue
	// expected is the run time that was expected when the task was sent.
	expected time.Duration
	bulk     bool // whether the task belongs to a bulk job
}

// freeCredit returns how many more tasks the agent may get that are not of bulk jobs.
// Tasks of bulk jobs do not count against a credit that the agent has set, since the
// agent starts the tasks of smaller jobs first.
func (a *agent) freeCredit() int {
	credit := a.credit
	if a.creditSet {
		credit += a.bulk
	}
	return min(credit, a.health.maxOutstanding) - len(a.sent)
}

// fits reports whether an agent has the free memory and accelerators for a task. Like
// the guard, it accepts any memory requirement if all memory is free: admission refuses
// jobs whose tasks are known to need more memory than any upstream has.
func (a *agent) fits(need Requirements) bool {
	fits := need.MemoryBytes <= a.freeMemory || a.freeMemory > 0 && a.freeMemory == a.capacity.MemoryBytes
	return fits && need.Accelerators <= a.freeAccelerators
}

func (a *agent) serving() bool { return a.capacity.State == messenger.UpstreamServing }

// accepting reports whether the agent's upstream serves and no operator holds it.
func (a *agent) accepting() bool { return a.serving() && a.hold == "" }

// membershipBefore orders the agents of a service: those being probed first, then by
// free credit, then by fewest outstanding tasks of bulk jobs, then the least recently
// chosen.
func membershipBefore(a, b *membership) bool {
	x, y := a.agent, b.agent
	xProbe, yProbe := x.health.state == stateProbing, y.health.state == stateProbing
	if xProbe != yProbe {
		return xProbe
	}
	if xf, yf := x.freeCredit(), y.freeCredit(); xf != yf {
		return xf > yf
	}
	if x.bulk != y.bulk {
		return x.bulk < y.bulk
	}
	return x.lastChosen < y.lastChosen
}

// rerank updates the position of an agent in the heap of each of its services.
func (p *Placer) rerank(a *agent) {
	works := a.accepting()
	for _, s := range a.memberships {
		s.updateCredits()
		want := works && (a.freeCredit() > 0 || p.couldTakeBulk(a))
		switch {
		case want && s.position < 0:
			s.service.available.push(s)
		case want:
			s.service.available.fix(s.position)
		case s.position >= 0:
			s.service.available.remove(s.position)
		}
	}
}

// updateCredits updates the service's sum of credits.
func (s *membership) updateCredits() {
	credit := 0
	if s.agent.accepting() && s.agent.health.maxOutstanding > 0 {
		credit = s.agent.credit
	}
	s.service.credits += credit - s.credit
	s.credit = credit
}

// updateMemberships makes the agent a member of exactly the services that it serves.
func (p *Placer) updateMemberships(a *agent) {
	for _, s := range a.memberships {
		if s.position >= 0 {
			s.service.available.remove(s.position)
		}
		s.service.credits -= s.credit
		s.credit = 0
		s.service.members = removeMembership(s.service.members, s)
	}
	old := a.memberships
	a.memberships = nil
	for _, name := range a.capacity.Services {
		s := findMembership(old, name)
		if s == nil {
			s = &membership{agent: a, service: p.service(name), position: -1}
		}
		a.memberships = append(a.memberships, s)
		s.service.members = append(s.service.members, s)
	}
	p.rerank(a)
}

func findMembership(seats []*membership, service string) *membership {
	for _, s := range seats {
		if s.service.name == service {
			return s
		}
	}
	return nil
}

func removeMembership(seats []*membership, s *membership) []*membership {
	for i, o := range seats {
		if o == s {
			return append(seats[:i], seats[i+1:]...)
		}
	}
	return seats
}

// release removes an outstanding task and frees the resources reserved for it.
func (a *agent) release(ref taskRef) (outstanding, bool) {
	o, ok := a.sent[ref]
	if !ok {
		return o, false
	}
	delete(a.sent, ref)
	if o.bulk {
		a.bulk--
	}
	a.freeMemory += o.reserved.MemoryBytes
	a.freeAccelerators += o.reserved.Accelerators
	return o, true
}

// reserve adds an outstanding task and reserves its resources.
func (a *agent) reserve(ref taskRef, o outstanding) {
	a.sent[ref] = o
	if o.bulk {
		a.bulk++
	}
	a.freeMemory -= o.reserved.MemoryBytes
	a.freeAccelerators -= o.reserved.Accelerators
}

// refused updates the agent's state or credit from a refusal, without waiting for the
// agent's next report.
func (a *agent) refused(r messenger.Refusal) {
	switch r {
	case messenger.RefusalLeaving:
		a.capacity.State = messenger.UpstreamLeaving
	case messenger.RefusalLapsed:
		a.capacity.State = messenger.UpstreamAbsent
	case messenger.RefusalFull, messenger.RefusalMemory:
		a.credit = max(min(1, a.limit), min(a.credit-1, len(a.sent)))
	}
}

// recovered restores one unit of the credit that refusals have reduced. It is needed
// because the agent does not send a limit again that has not changed.
func (a *agent) recovered() { a.credit = min(a.limit, a.credit+1) }
