package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// RequestKind says what a caller asks for.
type RequestKind string

// The kinds of requests.
const (
	RequestSubmit RequestKind = "submit" // Run the job, or answer with its kept answer.
	RequestAttach RequestKind = "attach" // Answer for a known submission; the job brings no tasks.
	RequestCancel RequestKind = "cancel" // Cancel a known submission.
)

// Request is what a caller asks for. Its deadline is that of the job.
type Request struct {
	Kind RequestKind
	Job  owner.Job
	// Fresh says that this entry made the id for the request, so that no other
	// request can have brought it before.
	Fresh bool
	// Resent says that the request was with another owner before, which did not
	// answer it but may have started tasks.
	Resent bool
}

// requests are those that no owner at this entry has taken: they wait for another
// entry's answer, for a partition to become active, or for an owner to be known.
type requests struct {
	forwards map[uint64]*forward
	order    []uint64 // order has the tickets of forwards in order of arrival; some may be gone.
	unrouted int      // unrouted is at least the number of forwards that no entry has.
	held     [identifier.Partitions][]heldRequest
	heldSize int
}

// forward is a request of this entry for a partition that another entry owns.
type forward struct {
	request Request
	to      messenger.Peer // to is the entry that has the request; empty if none has it.
	// sent means that some entry had the request at some time.
	sent bool
	// notBefore is when the request may be sent again after it came back.
	notBefore time.Time
}

// movedPause is how long a request that came back waits for newer rows.
const movedPause = 50 * time.Millisecond

// heldRequest is a request for a partition of this entry that is not active.
type heldRequest struct {
	waiter  owner.Waiter
	request Request
	// until is when the records of agents are awaited no more; zero if the request
	// does not wait for them.
	until time.Time
}

func newRequests() requests {
	return requests{forwards: make(map[uint64]*forward)}
}

func (r *requests) waiting() int { return len(r.forwards) + r.heldSize }

func (r *requests) add(ticket uint64, f *forward) {
	r.forwards[ticket] = f
	r.unrouted++
	r.order = append(r.order, ticket)
	if len(r.order) > 2*len(r.forwards)+64 {
		r.order = slices.DeleteFunc(r.order, func(t uint64) bool { return r.forwards[t] == nil })
	}
}

func (r *requests) hold(p identifier.Partition, h heldRequest) {
	r.held[p] = append(r.held[p], h)
	r.heldSize++
}

// takeHeld removes and returns what is held for a partition.
func (r *requests) takeHeld(p identifier.Partition) []heldRequest {
	out := r.held[p]
	r.held[p] = nil
	r.heldSize -= len(out)
	return out
}

// lost records that an entry is not connected any more.
func (r *requests) lost(peer messenger.Peer) {
	for _, f := range r.forwards {
		if f.to == peer {
			f.to = ""
			r.unrouted++
		}
	}
}

// moved records that the entry that had a request does not own its partition.
func (r *requests) moved(now time.Time, ticket uint64) {
	if f := r.forwards[ticket]; f != nil {
		f.to = ""
		r.unrouted++
		f.notBefore = now.Add(movedPause)
	}
}

// Submit applies a request to run a job whose id the caller chose.
func (c *Coordinator) Submit(now time.Time, ticket uint64, j owner.Job) {
	c.Request(now, ticket, Request{Kind: RequestSubmit, Job: j})
}

// Request applies a request of a caller.
func (c *Coordinator) Request(now time.Time, ticket uint64, r Request) {
	c.begin(now)
	if c.recoverer.Phase(r.Job.Submission.Partition()) != recoverer.PhaseNone {
		c.local(now, owner.Waiter{Ticket: ticket}, r)
		return
	}
	c.requests.add(ticket, &forward{request: r})
	c.route(now, ticket)
}

// Abandon records that the caller of a request has gone. A job that nobody waits
// for any more is cancelled after a while.
func (c *Coordinator) Abandon(now time.Time, ticket uint64) {
	f := c.requests.forwards[ticket]
	if f == nil {
		c.owner.Abandon(now, owner.Waiter{Ticket: ticket})
		return
	}
	delete(c.requests.forwards, ticket)
	if e := c.entries[f.to]; e != nil {
		frame := e.gather()
		frame.Forwards = append(frame.Forwards, messenger.Forward{
			Ticket:     ticket,
			Submission: f.request.Job.Submission,
			Abandon:    true,
		})
	}
}

// local applies a request for a partition that this entry owns.
func (c *Coordinator) local(now time.Time, w owner.Waiter, r Request) {
	c.localUntil(now, w, r, now.Add(c.limits.Owner.LostAfter))
}

// localUntil applies a request that waits for records until the given time.
func (c *Coordinator) localUntil(now time.Time, w owner.Waiter, r Request, until time.Time) {
	j := r.Job
	if c.recoverer.Phase(j.Submission.Partition()) != recoverer.PhaseActive {
		c.requests.hold(j.Submission.Partition(), heldRequest{waiter: w, request: r})
		return
	}
	past := c.past(now, &r)
	if past == recoverer.PastUnknown {
		c.localUncertain(now, w, r, until)
		return
	}
	switch r.Kind {
	case RequestAttach:
		c.attach(now, w, j)
		return
	case RequestCancel:
		c.owner.Cancel(now, j.Submission, j.Team)
		c.attach(now, w, j)
		return
	}
	known := c.owner.Known(j.Submission)
	tasks := c.owner.Submit(now, w, j)
	if len(tasks) == 0 {
		return
	}
	if past == recoverer.PastRefused && !known {
		c.owner.Refuse(now, j.Submission, submitter.ReasonOwnerChanged,
			"the former owner of the submission is gone and it did not run", time.Second)
		return
	}
	refusal := c.placer.Enqueue(now, placerJob(&j, tasks))
	if refusal.Reason != "" {
		c.owner.Refuse(now, j.Submission, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
}

// past returns what may have become of a request's id, or of its request key,
// under a former owner. A new id does not help an old key: the key may have been
// used under another id.
func (c *Coordinator) past(now time.Time, r *Request) recoverer.Past {
	if r.Job.RequestKey != "" && c.recoverer.Inheritance(now, r.Job.Submission.Partition()).Incomplete {
		return recoverer.PastUnknown
	}
	if r.Fresh && !r.Resent {
		return recoverer.PastNone
	}
	past := c.recoverer.Past(now, r.Job.Submission)
	if r.Fresh && past == recoverer.PastRefused {
		// Nobody but the resent request asked for the id, and it had no answer.
		return recoverer.PastNone
	}
	return past
}

// localUncertain applies a request for an id that may have run under a former
// owner while some agent's records are missing. If every task is known to have
// started, the job goes on, since nothing of it can be started again. If some are,
// the request waits for a while for the records of the others.
func (c *Coordinator) localUncertain(now time.Time, w owner.Waiter, r Request, until time.Time) {
	j := r.Job
	started := c.owner.Started(j.Submission)
	switch {
	case r.Kind == RequestSubmit && started > 0 && started == len(j.Tasks):
		c.owner.Submit(now, w, j)
	case r.Kind == RequestSubmit && started > 0 && now.Before(until):
		c.requests.hold(j.Submission.Partition(), heldRequest{waiter: w, request: r, until: until})
	case r.Kind != RequestSubmit && c.owner.Attach(now, w, j.Submission, j.Team, j.Deadline):
	default:
		c.deliver(now, w, unknown(j.Submission, submitter.ReasonOwnerChanged,
			"the former owner of the submission is gone and not every agent's records are known"))
	}
}

// attach answers for a known submission. A submission that is not known here, or
// that is another team's, is answered the same way.
func (c *Coordinator) attach(now time.Time, w owner.Waiter, j owner.Job) {
	if !c.owner.Attach(now, w, j.Submission, j.Team, j.Deadline) {
		c.deliver(now, w, unknown(j.Submission, submitter.ReasonNoSuchSubmission, "no such submission is known"))
	}
}

// releaseHeld applies the requests that waited for partitions that are now active.
func (c *Coordinator) releaseHeld(now time.Time) {
	if c.requests.heldSize == 0 {
		return
	}
	for p := range identifier.Partition(identifier.Partitions) {
		if c.recoverer.Phase(p) != recoverer.PhaseActive {
			continue
		}
		for _, h := range c.requests.takeHeld(p) {
			if h.until.IsZero() {
				h.until = now.Add(c.limits.Owner.LostAfter)
			}
			c.localUntil(now, h.waiter, h.request, h.until)
		}
	}
}

// route passes a request on to the owner of its partition. While the owner is not
// known or not connected, the request waits; one of another region does not.
func (c *Coordinator) route(now time.Time, ticket uint64) {
	f := c.requests.forwards[ticket]
	if f == nil || f.to != "" || now.Before(f.notBefore) {
		return
	}
	s := f.request.Job.Submission
	p := s.Partition()
	if c.recoverer.Phase(p) != recoverer.PhaseNone {
		delete(c.requests.forwards, ticket)
		c.local(now, owner.Waiter{Ticket: ticket}, f.request)
		return
	}
	row := c.registrar.Partition(p)
	e := c.entries[row.Owner]
	if e == nil {
		if row.Region != "" && row.Region != c.self.Region {
			c.answerForward(ticket, unknown(s, submitter.ReasonRegionUnreachable,
				"the submission belongs to region "+row.Region+", which cannot be reached"))
		}
		return
	}
	if row.Epoch < c.highest[p] {
		return
	}
	f.to = e.peer
	f.sent = true
	frame := e.gather()
	frame.Forwards = append(frame.Forwards, forwardMessage(now, ticket, &f.request))
	f.request.Resent = true
}

// routeRequests routes every request that no entry has.
func (c *Coordinator) routeRequests(now time.Time) {
	if c.requests.unrouted == 0 {
		return
	}
	c.requests.unrouted = 0
	for _, ticket := range slices.Clone(c.requests.order) {
		c.route(now, ticket)
		if f := c.requests.forwards[ticket]; f != nil && f.to == "" {
			c.requests.unrouted++
		}
	}
}

// passOn makes a request of a partition that is lost wait for the new owner.
func (c *Coordinator) passOn(w owner.Waiter, r Request) {
	if w.Peer == "" {
		r.Resent = true
		c.requests.add(w.Ticket, &forward{request: r, sent: true})
		return
	}
	if e := c.entries[w.Peer]; e != nil {
		f := e.gather()
		f.Moved = append(f.Moved, messenger.Moved{Ticket: w.Ticket})
	}
}

func (c *Coordinator) receiveForward(now time.Time, e *entryLink, m *messenger.Forward) {
	w := owner.Waiter{Peer: e.peer, Ticket: m.Ticket}
	if m.Abandon {
		c.owner.Abandon(now, w)
		return
	}
	if c.recoverer.Phase(m.Submission.Partition()) == recoverer.PhaseNone {
		f := e.gather()
		f.Moved = append(f.Moved, messenger.Moved{Ticket: m.Ticket})
		return
	}
	c.local(now, w, Request{Kind: kindOf(m), Fresh: m.Fresh, Resent: m.Resent, Job: owner.Job{
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

// expireRequests answers the requests whose deadline has passed, after a pause in
// which the owner's own answer may still arrive. A request whose id was made for
// it and that never left this entry did not run.
func (c *Coordinator) expireRequests(now time.Time) {
	if len(c.requests.forwards) > 0 {
		for _, ticket := range c.requests.order {
			f := c.requests.forwards[ticket]
			if f != nil && now.Sub(f.request.Job.Deadline) >= c.limits.AnswerSlack {
				c.answerForward(ticket, unowned(f))
			}
		}
	}
	if c.requests.heldSize > 0 {
		for p := range c.requests.held {
			c.expireHeld(now, identifier.Partition(p))
		}
	}
}

func (c *Coordinator) expireHeld(now time.Time, p identifier.Partition) {
	held := c.requests.takeHeld(p)
	for _, h := range held {
		if !h.until.IsZero() && !now.Before(h.until) {
			c.localUntil(now, h.waiter, h.request, h.until)
			continue
		}
		if now.Before(h.request.Job.Deadline) {
			c.requests.hold(p, h)
			continue
		}
		c.deliver(now, h.waiter, unknown(h.request.Job.Submission, submitter.ReasonOwnerChanged,
			"the owner of the submission was being replaced when the deadline passed"))
	}
}

// deliver gives an answer to who waits for it. Without the lease another entry may
// own the submission by now and may still run it, so only a complete answer is true.
func (c *Coordinator) deliver(now time.Time, w owner.Waiter, a *messenger.Answer) {
	if a.Outcome != string(submitter.OutcomeComplete) && !c.leaser.Held(now) {
		a = unknown(a.Submission, submitter.ReasonOwnerChanged,
			"the entry cannot tell whether it still owns the submission; it found: "+a.Reason)
	}
	if w.Peer == "" {
		c.out.Answers = append(c.out.Answers, TicketAnswer{Ticket: w.Ticket, Answer: a})
		return
	}
	e := c.entries[w.Peer]
	if e == nil {
		return
	}
	own := *a
	own.Ticket = w.Ticket
	f := e.gather()
	f.Answers = append(f.Answers, own)
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
		Fresh:      r.Fresh,
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

// unowned answers a request that no owner answered in time.
func unowned(f *forward) *messenger.Answer {
	if f.request.Fresh && !f.sent {
		return &messenger.Answer{
			Submission: f.request.Job.Submission,
			Outcome:    string(submitter.OutcomeNotRun),
			Reason:     string(submitter.ReasonNoOwner),
			Detail:     "no entry that owns the submission could be reached before the deadline",
			RetryAfter: time.Second,
		}
	}
	return unknown(f.request.Job.Submission, submitter.ReasonNoOwner, "the owner of the submission cannot be reached")
}

// unknown returns an answer that claims nothing.
func unknown(s identifier.Submission, reason submitter.Reason, detail string) *messenger.Answer {
	return &messenger.Answer{
		Submission: s,
		Outcome:    string(submitter.OutcomeUnknown),
		Reason:     string(reason),
		Detail:     detail,
	}
}
