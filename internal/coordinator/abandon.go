package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
)

// Abandon records that the caller of a request has disconnected. A job for which no
// caller waits is cancelled after a grace period.
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
// dropped. Tasks of its job that a former owner may have started become known from the
// agents' records when the partition is active; the owner then cancels the job unless
// another request asks for it.
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

// mayStillBeRequested reports whether a request for a recovered job may still arrive or
// is held here. Requests that waited at other entries arrive only some time after a
// partition has become active, so they get the grace period of an abandoned job.
func (c *Coordinator) mayStillBeRequested(now time.Time, s identifier.Submission) bool {
	p := s.Partition()
	if !c.Owns(p) || !c.leaser.Held(now) || now.Sub(c.recoverer.ActiveSince(p)) < c.limits.Owner.AbandonGrace {
		return true
	}
	return slices.ContainsFunc(c.requests.held[p], func(h heldRequest) bool {
		return h.request.Job.Submission == s
	})
}
