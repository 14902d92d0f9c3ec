package placer

import "time"

// startRank returns the value by which an agent orders the starts of a job that wait
// there, the least first: the expected time of the job's work on all slots.
//
// The rank of a bulk job falls as its tasks are sent, so that of several bulk jobs at
// the same agents the first one completes first. It keeps a quarter of the total work,
// so that a bulk job does not overtake small jobs. The starts of a team that overloads
// the service rank later: the team's remaining tasks wait long at the entry anyway, and
// tasks of other teams at the agent would wait behind them.
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

// overloads reports whether a team has more work waiting than all credits can run in
// OverloadWork.
func (p *Placer) overloads(t *teamQueue) bool {
	return t.work/t.service.slotDivisor > p.limits.OverloadWork
}
