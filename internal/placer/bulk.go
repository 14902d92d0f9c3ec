package placer

import "time"

// A job that arrives with at least as many tasks as the entry has credits is a bulk
// job, unless its tasks run long. Some of its tasks may wait at an agent beyond the
// credit, so that starts and results travel in larger batches. This does not delay
// other jobs: tasks of bulk jobs do not count against the credit for other tasks, and
// an agent starts the tasks of smaller jobs first. The number of tasks beyond the credit
// shrinks with the remaining tasks of bulk jobs, so that the last ones bind late.

// classify determines whether a new job is a bulk job.
func (p *Placer) classify(q *queuedJob) {
	tasks, credits := len(q.waiting), q.queue.service.credits
	short := q.work <= time.Duration(tasks)*p.limits.MaxBulkRunTime
	q.bulk = short && credits > 0 && tasks >= credits
}

// bulkAllowance returns how many tasks of bulk jobs an agent may get beyond its credit:
// bulkShare times its share of the queued tasks of bulk jobs, at most maxBulkWaiting.
func (p *Placer) bulkAllowance(s *service, a *agent) int {
	if !a.mayQueue() {
		return 0
	}
	return min(bulkShare*s.bulk*a.capacity.Slots/max(1, s.credits), p.maxBulkWaiting(s, a))
}

// bulkShare is the factor by which an agent's share of the queued bulk tasks may wait
// at it beyond the credit. For a caller with one job of 580 tasks at a time, a factor of
// 1 costs 0.231 messages a task, and factors from 2 to 4 cost 0.211. The scenarios show
// no difference.
const bulkShare = 2

// mayQueue reports whether starts may wait at an agent beyond its credit: it has set
// the credit, the credit is not reduced by refusals, and the agent is neither in slow
// start nor ejected.
func (a *agent) mayQueue() bool {
	return a.creditSet && a.credit == a.limit && a.health.maxOutstanding == unlimited
}

// hasBulkCredit reports whether an agent can take a task of a bulk job now. Unless the
// current dispatch sends it a message anyway, it must be able to take a whole batch or
// half of the tasks that it may have.
func (p *Placer) hasBulkCredit(s *service, a *agent) bool {
	extra := p.bulkAllowance(s, a)
	most := min(a.credit, a.health.maxOutstanding) + extra
	batch := 1
	switch {
	case !a.creditSet || a.dispatch == p.output.dispatch:
	case extra > 0:
		batch = p.limits.BulkBatch
	default:
		batch = p.limits.Batch
	}
	return most-len(a.sent) >= max(1, min(batch, most/2))
}

// couldTakeBulk reports whether an agent could take a task of a bulk job if enough of
// them were queued.
func (p *Placer) couldTakeBulk(a *agent) bool {
	return a.mayQueue() && len(a.sent) < a.credit+maxBulkPerAgent
}

// maxBulkWaiting returns how many tasks of bulk jobs may wait at an agent beyond its
// credit: Tuning.BulkPerSlot for each slot, or as many as its slots run within
// Tuning.BulkWait if that is more.
func (p *Placer) maxBulkWaiting(s *service, a *agent) int {
	rounds := p.limits.BulkPerSlot
	if usual := s.learned.meanRunTime(); usual > 0 {
		rounds = max(rounds, int(p.limits.BulkWait/usual))
	}
	return min(rounds*a.capacity.Slots, maxBulkPerAgent)
}

// maxBulkPerAgent bounds the tasks of bulk jobs that wait at an agent beyond its credit.
// It keeps several entries together below the number of starts that an agent lets wait.
const maxBulkPerAgent = 128
