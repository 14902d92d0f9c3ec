package placer

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// agent is what the placer knows of one agent and its upstream.
type agent struct {
	peer      messenger.Peer
	place     Location
	capacity  messenger.Capacity
	credit    int  // credit is how many tasks may be outstanding: limit, or less after refusals.
	limit     int  // limit is the number of slots or, once there is one, the agent's limit.
	creditSet bool // credited means that the agent itself has set the limit.
	hold      Hold // held is what an operator has set; empty lets the agent work.
	// sent has the tasks that are outstanding at the agent.
	sent map[taskRef]outstanding
	// deep counts the tasks in sent that are of deep jobs.
	bulk int
	// freeMemory and freeAccelerators are what the outstanding tasks leave.
	freeMemory       int64
	freeAccelerators int
	memberships      []*membership // seats has one entry a service that the agent serves.
	lastChosen       uint64        // used is the number of the latest decision for the agent.
	health           health

	// batch is the latest assignment of the running dispatch for the agent; it
	// counts only if dispatch is the number of the running dispatch.
	batch    int
	dispatch uint64
}

// seat is an agent among the agents of one service.
type membership struct {
	agent    *agent
	service  *service
	position int // position is that in service.seats, -1 while the agent takes no task.
	failing  int // failing counts the service's failures in a row at the agent.
	samples  int // samples counts the service's results at the agent.
	credit   int // credit is what the agent adds to service.credits.
}

type taskRef struct {
	submission identifier.Submission
	index      uint16
}

// outstanding is a task at an agent.
type outstanding struct {
	need  Requirements // need is what is set aside for the task.
	queue *teamQueue
	// expected is the expected run time when the task was sent.
	expected time.Duration
	bulk     bool // deep means that the task is one of a deep job.
}

// free returns how many more tasks the agent may get that are not deep. Deep ones
// do not count against a credit that the agent has set, since they yield to others.
func (a *agent) freeCredit() int {
	credit := a.credit
	if a.creditSet {
		credit += a.bulk
	}
	return min(credit, a.health.maxOutstanding) - len(a.sent)
}

// holds reports whether an agent has what a task needs now. An upstream whose memory
// is all free takes a task that may need more, as the guard does; no job is admitted
// whose tasks are known to need more than any upstream has.
func (a *agent) fits(need Requirements) bool {
	fits := need.MemoryBytes <= a.freeMemory || a.freeMemory > 0 && a.freeMemory == a.capacity.MemoryBytes
	return fits && need.Accelerators <= a.freeAccelerators
}

func (a *agent) serving() bool { return a.capacity.State == messenger.UpstreamServing }

// seatBefore orders the agents of a service: probes first, then those with the
// most free credit, then the one that was chosen longest ago.
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

// rerank moves an agent to where its free credit puts it in each service.
func (p *Placer) rerank(a *agent) {
	works := a.serving() && a.hold == ""
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

// count keeps the service's sum of credits.
func (s *membership) updateCredits() {
	credit := 0
	if s.agent.serving() && s.agent.health.maxOutstanding > 0 {
		credit = s.agent.credit
	}
	s.service.credits += credit - s.credit
	s.credit = credit
}

// reseat gives the agent a seat in each service that it serves.
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

// release takes a task off its agent and returns what was set aside for it.
func (a *agent) release(ref taskRef) (outstanding, bool) {
	o, ok := a.sent[ref]
	if !ok {
		return o, false
	}
	delete(a.sent, ref)
	if o.bulk {
		a.bulk--
	}
	a.freeMemory += o.need.MemoryBytes
	a.freeAccelerators += o.need.Accelerators
	return o, true
}

// hold sets aside what a task needs.
func (a *agent) reserve(ref taskRef, o outstanding) {
	a.sent[ref] = o
	if o.bulk {
		a.bulk++
	}
	a.freeMemory -= o.need.MemoryBytes
	a.freeAccelerators -= o.need.Accelerators
}

// refused applies the reason of a refusal before the agent's next message does.
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

// recovered takes back some of what refusals took off the credit. The agent does
// not repeat a limit that has not changed.
func (a *agent) recovered() { a.credit = min(a.limit, a.credit+1) }
