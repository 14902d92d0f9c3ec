package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// start checks one start and queues or refuses each of its tasks.
func (g *Guard) start(now time.Time, from messenger.Peer, s *messenger.Start) {
	for i := range s.Tasks {
		p := pending{
			from:  from,
			ref:   TaskRef{Submission: s.Submission, Index: s.Tasks[i].Index},
			start: s,
			task:  &s.Tasks[i],
		}
		refusal := g.check(now, &p)
		if refusal == "" && g.waiting.len() >= g.limits.MaxWaiting {
			refusal = messenger.RefusalFull
		}
		if refusal != "" {
			g.refuse(&p, refusal)
			continue
		}
		g.raise(s.Submission.Partition(), s.Epoch)
		g.resultReceivers[s.Submission.Partition()] = from
		g.enqueue(now, p)
	}
}

// startWaiting starts waiting tasks while slots are free. Each is checked again,
// because conditions may have changed since it arrived.
func (g *Guard) startWaiting(now time.Time) {
	for g.waiting.len() > 0 {
		p := g.waiting.first()
		if refusal := g.check(now, p); refusal != "" {
			g.refuse(p, refusal)
			g.releaseCredit(p)
			g.waiting.pop()
			continue
		}
		if g.running >= g.upstream.Slots || !g.fits(p) {
			return
		}
		g.run(now, p)
		g.waiting.pop()
	}
}

// run records the start of a task and requests the call to the upstream.
func (g *Guard) run(now time.Time, p *pending) {
	r := g.records.add(g.Clock(now), g.limits.Window, p.ref.Submission)
	g.records.setRequest(r, p.start)
	r.start(g.Clock(now), p.ref.Index)
	g.running++
	g.chargeTask(p)
	g.out.Invocations = append(g.out.Invocations, Invocation{
		Ref:     p.ref,
		Path:    p.start.Path,
		Payload: p.task.Payload,
		EndBy:   g.started.Add(p.start.EndBy),
	})
}

func (g *Guard) refuse(p *pending, refusal messenger.Refusal) {
	g.addResult(p.from, p.ref.Submission, messenger.TaskResult{
		Index:   p.ref.Index,
		Kind:    messenger.ResultRefused,
		Refusal: refusal,
	})
}

// cancel aborts the running tasks of a submission and prevents further starts. The
// record is created even beyond the memory limit, because it must stop starts that
// are still in flight.
func (g *Guard) cancel(now time.Time, from messenger.Peer, c *messenger.Cancel) {
	if g.Rules.StaleEpoch(c.Epoch, g.epochs[c.Submission.Partition()]) {
		return
	}
	r := g.records.add(g.Clock(now), g.limits.Window, c.Submission)
	r.cancelled = true
	r.lastUsed = g.Clock(now)
	for _, index := range r.running {
		g.out.Aborts = append(g.out.Aborts, TaskRef{Submission: c.Submission, Index: index})
	}
	frame := g.frameTo(from)
	frame.CancelAcks = append(frame.CancelAcks, messenger.CancelAck{
		Submission: c.Submission,
		Started:    r.started.indexes(),
	})
}

func (g *Guard) settle(now time.Time, s *messenger.Settlement) {
	r := g.records.get(s.Submission.Partition(), s.Submission)
	if r == nil || r.acked {
		return
	}
	r.acked = true
	g.records.retain(s.Submission, g.Clock(now)+g.limits.RetainFor, r.resultBytes())
	g.records.releaseRetained(g.Clock(now), g.limits.RetainBytes)
}
