package placer

import "time"

// rank returns the work by which an agent orders the starts of a job that wait
// there, the least first: how long the job takes on all slots.
//
// A deep job comes nearer to the front as it goes on, so that of several that wait
// at the same agents the first is ended first. It does not overtake what is small.
// The starts of a team that floods yield: its later tasks wait for long at the entry
// in any case, and whoever else has a task at the agent would wait behind them.
func (p *Placer) startRank(q *queuedJob) time.Duration {
	work := q.total
	if q.bulk {
		work = q.total/4 + q.work*3/4
	}
	rank := work / q.queue.service.slotDivisor
	if p.overloads(q.queue) {
		rank += p.limits.OverloadDelay
	}
	return rank
}

// floods reports whether a team has more work waiting than all credits do in a time.
func (p *Placer) overloads(t *teamQueue) bool {
	return t.work/t.service.slotDivisor > p.limits.OverloadWork
}
