package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// forward is a request of this entry for a partition that another entry owns.
type forward struct {
	job owner.Job
	to  messenger.Peer // to is the entry that has the request; empty if none has it.
}

// forward passes a request on to the owner of its partition. While the owner is
// not known or not connected, the request waits until its deadline.
func (c *Coordinator) forward(now time.Time, ticket uint64, j owner.Job) {
	f := &forward{job: j}
	c.forwards[ticket] = f
	c.sendForward(now, ticket, f)
}

func (c *Coordinator) sendForward(now time.Time, ticket uint64, f *forward) {
	to, _ := c.leaser.Owner(f.job.Submission.Partition())
	if c.entries[to] == nil {
		return
	}
	f.to = to
	frame := c.entryFrame(to)
	frame.Forwards = append(frame.Forwards, messenger.Forward{
		Ticket:     ticket,
		Submission: f.job.Submission,
		Service:    f.job.Service,
		Team:       f.job.Team,
		RequestKey: f.job.RequestKey,
		Remaining:  f.job.Deadline.Sub(now),
		Tasks:      f.job.Tasks,
	})
}

// resend passes on the requests that wait for an entry that has come back. The
// owner recognises those that it has already.
func (c *Coordinator) resend(now time.Time, peer messenger.Peer) {
	for ticket, f := range c.forwards {
		if to, _ := c.leaser.Owner(f.job.Submission.Partition()); to == peer {
			c.sendForward(now, ticket, f)
		}
	}
}

// receiveEntry applies a frame from another entry.
func (c *Coordinator) receiveEntry(now time.Time, from messenger.Peer, f *messenger.Frame) {
	for i := range f.Forwards {
		c.receiveForward(now, from, &f.Forwards[i])
	}
	for i := range f.Answers {
		c.receiveAnswer(&f.Answers[i])
	}
}

func (c *Coordinator) receiveForward(now time.Time, from messenger.Peer, m *messenger.Forward) {
	w := owner.Waiter{Peer: from, Ticket: m.Ticket}
	if !c.leaser.Owns(m.Submission.Partition()) {
		c.deliver(w, unknown(m.Submission, submitter.ReasonNoOwner, "the partition has another owner"))
		return
	}
	c.submitLocal(now, w, owner.Job{
		Submission: m.Submission,
		Service:    m.Service,
		Team:       m.Team,
		RequestKey: m.RequestKey,
		Deadline:   now.Add(m.Remaining),
		Tasks:      m.Tasks,
	})
}

func (c *Coordinator) receiveAnswer(a *messenger.Answer) {
	if _, ok := c.forwards[a.Ticket]; !ok {
		return
	}
	delete(c.forwards, a.Ticket)
	c.out.Answers = append(c.out.Answers, TicketAnswer{Ticket: a.Ticket, Answer: a})
}

// expireForwards answers the requests whose deadline has passed. A request that
// never left this entry did not run.
func (c *Coordinator) expireForwards(now time.Time) {
	for ticket, f := range c.forwards {
		if now.Before(f.job.Deadline) {
			continue
		}
		delete(c.forwards, ticket)
		answer := unknown(f.job.Submission, submitter.ReasonNoOwner, "the owner of the submission cannot be reached")
		c.out.Answers = append(c.out.Answers, TicketAnswer{Ticket: ticket, Answer: answer})
	}
}
