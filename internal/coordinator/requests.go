package coordinator

import (
	"container/heap"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// RequestKind is the kind of a caller's request.
type RequestKind string

// The kinds of requests.
const (
	RequestSubmit RequestKind = "submit" // Run the job, or return the answer that it already has.
	RequestAttach RequestKind = "attach" // Return the answer of a known submission; the job has no tasks.
	RequestCancel RequestKind = "cancel" // Cancel a known submission.
)

// Request is a request of a caller. Its deadline is that of the job.
type Request struct {
	Kind RequestKind
	Job  owner.Job
	// NewID is set if this entry generated the id for the request, so that no other
	// request can have used it before.
	NewID bool
	// Resent is set if the request was sent to another owner before, which did not
	// answer it but may have started tasks.
	Resent bool
}

// requests holds the requests that no owner at this entry has accepted: they wait for
// another entry's answer, for a partition to become active, or for an owner to be
// known.
type requests struct {
	forwards    map[uint64]*forward
	order       []uint64 // Tickets in order of arrival; may include answered ones.
	expiries    expiries // Has every forward; may include answered ones.
	unrouted    int      // An upper bound of the forwards that are at no entry.
	held        [identifier.Partitions][]heldRequest
	heldSize    int
	gracePeriod time.Duration // How long after a deadline the owner's answer is awaited.
}

// heldRequest is a request for a partition that this entry owns and that is not active.
type heldRequest struct {
	waiter  owner.Waiter
	request Request
	// recordsDeadline is when the request stops waiting for agents' records; zero if it
	// does not wait for them.
	recordsDeadline time.Time
}

func newRequests(gracePeriod time.Duration) requests {
	return requests{forwards: make(map[uint64]*forward), gracePeriod: gracePeriod}
}

func (r *requests) waiting() int { return len(r.forwards) + r.heldSize }

func (r *requests) add(ticket uint64, f *forward) {
	r.forwards[ticket] = f
	r.unrouted++
	r.order = append(r.order, ticket)
	heap.Push(&r.expiries, expiry{at: f.request.Job.Deadline.Add(r.gracePeriod), ticket: ticket})
	if len(r.order) > 2*len(r.forwards)+64 {
		r.order = slices.DeleteFunc(r.order, func(t uint64) bool { return r.forwards[t] == nil })
		r.expiries.dropAnswered(r.forwards)
	}
}

func (r *requests) hold(p identifier.Partition, h heldRequest) {
	r.held[p] = append(r.held[p], h)
	r.heldSize++
}

// takeHeld removes and returns the requests held for a partition.
func (r *requests) takeHeld(p identifier.Partition) []heldRequest {
	out := r.held[p]
	r.held[p] = nil
	r.heldSize -= len(out)
	return out
}

// Submit applies a request to run a job whose id the caller chose.
func (c *Coordinator) Submit(now time.Time, ticket uint64, j owner.Job) {
	c.Request(now, ticket, Request{Kind: RequestSubmit, Job: j})
}

// Request applies a request of a caller.
func (c *Coordinator) Request(now time.Time, ticket uint64, r Request) {
	c.beginEvent(now)
	if c.recoverer.Phase(r.Job.Submission.Partition()) != recoverer.PhaseNone {
		c.applyLocally(now, owner.Waiter{Ticket: ticket}, r)
		return
	}
	c.requests.add(ticket, &forward{request: r})
	c.route(now, ticket)
}

// applyLocally applies a request for a partition that this entry owns.
func (c *Coordinator) applyLocally(now time.Time, w owner.Waiter, r Request) {
	c.applyLocallyUntil(now, w, r, now.Add(c.limits.Owner.AgentLossTimeout))
}

// applyLocallyUntil applies a request that waits for records until the given time.
func (c *Coordinator) applyLocallyUntil(now time.Time, w owner.Waiter, r Request, recordsDeadline time.Time) {
	j := r.Job
	if c.recoverer.Phase(j.Submission.Partition()) != recoverer.PhaseActive {
		c.requests.hold(j.Submission.Partition(), heldRequest{waiter: w, request: r})
		return
	}
	outcome := c.formerOutcome(now, &r)
	if outcome == recoverer.FormerOutcomeUnknown {
		c.applyUncertain(now, w, r, recordsDeadline)
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
	if outcome == recoverer.FormerOutcomeNotRun && !known {
		c.owner.Refuse(now, j.Submission, submitter.ReasonOwnerChanged,
			"the former owner of the submission is gone and it did not run", time.Second)
		return
	}
	refusal := c.placer.Enqueue(now, placerJob(&j, tasks))
	if refusal.Reason != "" {
		c.owner.Refuse(now, j.Submission, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
}

// formerOutcome returns what may have happened under a former owner to a request's id
// or request key. A new id does not make an old key safe: the key may have been used
// with another id.
func (c *Coordinator) formerOutcome(now time.Time, r *Request) recoverer.FormerOutcome {
	if r.Job.RequestKey != "" && c.recoverer.Uncertainty(now, r.Job.Submission.Partition()).RecordsIncomplete {
		return recoverer.FormerOutcomeUnknown
	}
	if r.NewID && !r.Resent {
		return recoverer.FormerOutcomeNone
	}
	outcome := c.recoverer.FormerOutcome(now, r.Job.Submission)
	if r.NewID && outcome == recoverer.FormerOutcomeNotRun {
		// Only the resent request has used the id, and it had no answer.
		return recoverer.FormerOutcomeNone
	}
	return outcome
}

// applyUncertain applies a request for an id that may have run under a former owner
// while some agents' records are missing. If every task is known to have started, the
// job continues, because no task of it can be started again. If only some are, the
// request waits until recordsDeadline for the records of the other agents.
func (c *Coordinator) applyUncertain(now time.Time, w owner.Waiter, r Request, recordsDeadline time.Time) {
	j := r.Job
	started := c.owner.Started(j.Submission)
	switch {
	case r.Kind == RequestSubmit && started > 0 && started == len(j.Tasks):
		c.owner.Submit(now, w, j)
	case r.Kind == RequestSubmit && started > 0 && now.Before(recordsDeadline):
		c.requests.hold(j.Submission.Partition(), heldRequest{waiter: w, request: r, recordsDeadline: recordsDeadline})
	case r.Kind == RequestCancel && c.owner.Cancel(now, j.Submission, j.Team):
		c.attach(now, w, j)
	case r.Kind == RequestAttach && c.owner.Attach(now, w, j.Submission, j.Team, j.Deadline):
	default:
		c.deliver(now, w, unknownAnswer(j.Submission, submitter.ReasonOwnerChanged,
			"the former owner of the submission is gone and not every agent's records are known"))
	}
}

// attach answers a request for a known submission. A submission of another team is
// answered as if it were unknown.
func (c *Coordinator) attach(now time.Time, w owner.Waiter, j owner.Job) {
	if !c.owner.Attach(now, w, j.Submission, j.Team, j.Deadline) {
		c.deliver(now, w, unknownAnswer(j.Submission, submitter.ReasonNoSuchSubmission, "no such submission is known"))
	}
}

// releaseHeld applies the requests held for partitions that are now active.
func (c *Coordinator) releaseHeld(now time.Time) {
	if c.requests.heldSize == 0 {
		return
	}
	for p := range identifier.Partition(identifier.Partitions) {
		if c.recoverer.Phase(p) != recoverer.PhaseActive {
			continue
		}
		for _, h := range c.requests.takeHeld(p) {
			if h.recordsDeadline.IsZero() {
				h.recordsDeadline = now.Add(c.limits.Owner.AgentLossTimeout)
			}
			c.applyLocallyUntil(now, h.waiter, h.request, h.recordsDeadline)
		}
	}
}

// expireRequests answers the requests whose deadline has passed, after a grace period
// in which the owner's own answer may still arrive. A request did not run if its id was
// generated for it and it was never sent to another entry.
func (c *Coordinator) expireRequests(now time.Time) {
	for _, ticket := range c.requests.expiries.takeExpired(now) {
		if f := c.requests.forwards[ticket]; f != nil {
			c.answerForward(ticket, noOwnerAnswer(f))
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
		if !h.recordsDeadline.IsZero() && !now.Before(h.recordsDeadline) {
			c.applyLocallyUntil(now, h.waiter, h.request, h.recordsDeadline)
			continue
		}
		if now.Before(h.request.Job.Deadline) {
			c.requests.hold(p, h)
			continue
		}
		c.deliver(now, h.waiter, unknownAnswer(h.request.Job.Submission, submitter.ReasonOwnerChanged,
			"the owner of the submission was being replaced when the deadline passed"))
	}
}

// deliver sends an answer to the waiting caller or entry. Without the lease another
// entry may own the submission by now and may still run it, so only a complete answer
// can be trusted.
func (c *Coordinator) deliver(now time.Time, w owner.Waiter, a *messenger.Answer) {
	if a.Outcome != string(submitter.OutcomeComplete) && !c.leaser.Held(now) {
		a = unknownAnswer(a.Submission, submitter.ReasonOwnerChanged,
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
	f := e.pendingFrame()
	f.Answers = append(f.Answers, own)
}

// unknownAnswer returns an answer with outcome unknown, which does not say whether
// anything ran.
func unknownAnswer(s identifier.Submission, reason submitter.Reason, detail string) *messenger.Answer {
	return &messenger.Answer{
		Submission: s,
		Outcome:    string(submitter.OutcomeUnknown),
		Reason:     string(reason),
		Detail:     detail,
	}
}
