package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// movedRetryDelay is how long a request that another entry returned as moved waits for
// newer rows before it is routed again.
const movedRetryDelay = 50 * time.Millisecond

// forward is a request of this entry for a partition that another entry owns.
type forward struct {
	request Request
	sentTo  messenger.Peer // The entry that has the request now; empty if none has.
	// everSent is set once the request was sent to any entry.
	everSent bool
	// notBefore is the earliest time for sending the request again after it was
	// returned.
	notBefore time.Time
}

// entryDown marks the requests at an entry as unrouted after its connection has ended.
func (r *requests) entryDown(peer messenger.Peer) {
	for _, f := range r.forwards {
		if f.sentTo == peer {
			f.sentTo = ""
			r.unrouted++
		}
	}
}

// returned records that the entry to which a request was sent does not own its
// partition.
func (r *requests) returned(now time.Time, ticket uint64) {
	if f := r.forwards[ticket]; f != nil {
		f.sentTo = ""
		r.unrouted++
		f.notBefore = now.Add(movedRetryDelay)
	}
}

// route forwards a request to the owner of its partition. While the owner is unknown or
// not connected, the request waits; a request for another region is answered at once
// instead.
func (c *Coordinator) route(now time.Time, ticket uint64) {
	f := c.requests.forwards[ticket]
	if f == nil || f.sentTo != "" || now.Before(f.notBefore) {
		return
	}
	s := f.request.Job.Submission
	p := s.Partition()
	if c.recoverer.Phase(p) != recoverer.PhaseNone {
		delete(c.requests.forwards, ticket)
		c.applyLocally(now, owner.Waiter{Ticket: ticket}, f.request)
		return
	}
	row := c.registrar.Partition(p)
	e := c.entries[row.Owner]
	if e == nil {
		if row.Region != "" && row.Region != c.self.Region {
			c.answerForward(ticket, unknownAnswer(s, submitter.ReasonRegionUnreachable,
				"the submission belongs to region "+row.Region+", which cannot be reached"))
		}
		return
	}
	if row.Epoch < c.highestEpoch[p] {
		return
	}
	f.sentTo = e.peer
	f.everSent = true
	frame := e.pendingFrame()
	frame.Forwards = append(frame.Forwards, forwardMessage(now, ticket, &f.request))
	f.request.Resent = true
}

// routeRequests routes every request that is at no entry.
func (c *Coordinator) routeRequests(now time.Time) {
	if c.requests.unrouted == 0 {
		return
	}
	c.requests.unrouted = 0
	for _, ticket := range slices.Clone(c.requests.order) {
		c.route(now, ticket)
		if f := c.requests.forwards[ticket]; f != nil && f.sentTo == "" {
			c.requests.unrouted++
		}
	}
}

// redirect hands a request for a lost partition on to the new owner: a request of this
// entry waits to be routed again, and a forwarded one is returned to its sender.
func (c *Coordinator) redirect(w owner.Waiter, r Request) {
	if w.Peer == "" {
		r.Resent = true
		c.requests.add(w.Ticket, &forward{request: r, everSent: true})
		return
	}
	if e := c.entries[w.Peer]; e != nil {
		f := e.pendingFrame()
		f.Moved = append(f.Moved, messenger.Moved{Ticket: w.Ticket})
	}
}

func (c *Coordinator) receiveForward(now time.Time, e *entryLink, m *messenger.Forward) {
	w := owner.Waiter{Peer: e.peer, Ticket: m.Ticket}
	if m.Abandon {
		c.abandon(now, w)
		return
	}
	if c.recoverer.Phase(m.Submission.Partition()) == recoverer.PhaseNone {
		f := e.pendingFrame()
		f.Moved = append(f.Moved, messenger.Moved{Ticket: m.Ticket})
		return
	}
	c.applyLocally(now, w, Request{Kind: kindOf(m), NewID: m.NewID, Resent: m.Resent, Job: owner.Job{
		Submission: m.Submission,
		Service:    m.Service,
		Team:       m.Team,
		RequestKey: m.RequestKey,
		Deadline:   now.Add(m.Remaining),
		Tasks:      m.Tasks,
	}})
}

func (c *Coordinator) receiveAnswer(a *messenger.Answer) {
	if c.requests.forwards[a.Ticket] != nil {
		c.answerForward(a.Ticket, a)
	}
}

func (c *Coordinator) answerForward(ticket uint64, a *messenger.Answer) {
	delete(c.requests.forwards, ticket)
	c.out.Answers = append(c.out.Answers, TicketAnswer{Ticket: ticket, Answer: a})
}

func forwardMessage(now time.Time, ticket uint64, r *Request) messenger.Forward {
	j := &r.Job
	return messenger.Forward{
		Ticket:     ticket,
		Submission: j.Submission,
		Service:    j.Service,
		Team:       j.Team,
		RequestKey: j.RequestKey,
		Remaining:  j.Deadline.Sub(now),
		Tasks:      j.Tasks,
		NewID:      r.NewID,
		Resent:     r.Resent,
		Attach:     r.Kind == RequestAttach,
		Cancel:     r.Kind == RequestCancel,
	}
}

func kindOf(m *messenger.Forward) RequestKind {
	switch {
	case m.Attach:
		return RequestAttach
	case m.Cancel:
		return RequestCancel
	}
	return RequestSubmit
}

// noOwnerAnswer returns the answer to a request that no owner answered in time.
func noOwnerAnswer(f *forward) *messenger.Answer {
	if f.request.NewID && !f.everSent {
		return &messenger.Answer{
			Submission: f.request.Job.Submission,
			Outcome:    string(submitter.OutcomeNotRun),
			Reason:     string(submitter.ReasonNoOwner),
			Detail:     "no entry that owns the submission could be reached before the deadline",
			RetryAfter: time.Second,
		}
	}
	return unknownAnswer(f.request.Job.Submission, submitter.ReasonNoOwner, "the owner of the submission cannot be reached")
}
