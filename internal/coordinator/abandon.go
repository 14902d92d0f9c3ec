package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
)

// Abandon records that the caller of a request has gone. A job that nobody waits
// for any more is cancelled after a while.
func (c *Coordinator) Abandon(now time.Time, ticket uint64) {
	f := c.requests.forwards[ticket]
	if f == nil {
		c.abandon(now, owner.Waiter{Ticket: ticket})
		return
	}
	delete(c.requests.forwards, ticket)
	if e := c.entries[f.sentTo]; e != nil {
		frame := e.pendingFrame()
		frame.Forwards = append(frame.Forwards, messenger.Forward{
			Ticket:     ticket,
			Submission: f.request.Job.Submission,
			Abandon:    true,
		})
	}
}

// abandon ends a request that is held here or waits for a job. A held request is
// dropped: what its job may have started under a former owner is known from records
// once the partition is active, and the owner cancels it if nobody else asks.
func (c *Coordinator) abandon(now time.Time, w owner.Waiter) {
	if !c.requests.dropHeld(w) {
		c.owner.Abandon(now, w)
	}
}

// dropHeld drops a held request and reports whether there was one.
func (r *requests) dropHeld(w owner.Waiter) bool {
	if r.heldSize == 0 {
		return false
	}
	for p, held := range r.held {
		i := slices.IndexFunc(held, func(h heldRequest) bool { return h.waiter == w })
		if i >= 0 {
			r.held[p] = slices.Delete(held, i, i+1)
			r.heldSize--
			return true
		}
	}
	return false
}

// awaited reports whether a request for a recovered job may still come or is held.
// Once a partition is active, the requests that wait elsewhere need a moment to
// arrive: they get the grace time of an abandoned job.
func (c *Coordinator) mayStillBeRequested(now time.Time, s identifier.Submission) bool {
	p := s.Partition()
	if !c.Owns(p) || !c.leaser.Held(now) || now.Sub(c.recoverer.ActiveSince(p)) < c.limits.Owner.AbandonGrace {
		return true
	}
	return slices.ContainsFunc(c.requests.held[p], func(h heldRequest) bool {
		return h.request.Job.Submission == s
	})
}
