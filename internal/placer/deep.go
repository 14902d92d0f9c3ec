package placer

import "time"

// A job that comes with at least as many tasks as the entry has credits is deep,
// unless its tasks take long. Some of its tasks may wait at an agent beyond the
// credit, so that starts and results go in larger batches. Other jobs do not lose
// by it: deep tasks do not count against the credit that others have, and an agent
// starts the tasks of smaller jobs first. The depth shrinks with the deep tasks
// that are left, so that the last ones bind late.

// deepen marks a new job as deep if it is.
func (p *Placer) classify(q *queuedJob) {
	tasks, credits := len(q.waiting), q.queue.service.credits
	short := q.work <= time.Duration(tasks)*p.limits.MaxBulkRunTime
	q.bulk = short && credits > 0 && tasks >= credits
}

// extra returns how many deep tasks an agent may get beyond its credit: deepShare
// times its share of the deep tasks that wait, but not more than mostExtra.
func (p *Placer) bulkAllowance(s *service, a *agent) int {
	if !a.mayQueue() {
		return 0
	}
	return min(bulkShare*s.bulk*a.capacity.Slots/max(1, s.credits), p.maxBulkWaiting(s, a))
}

// deepShare was measured: with 1 a caller with one job at a time had 0.231 messages
// a task of a job of 580, with 2 to 4 0.211; the scenarios show no difference.
const bulkShare = 2

// mayWait reports whether starts may wait at an agent beyond its credit: it has set
// the credit, has not refused starts since, and is neither new nor ejected.
func (a *agent) mayQueue() bool {
	return a.creditSet && a.credit == a.limit && a.health.maxOutstanding == unlimited
}

// takesDeep reports whether an agent can take a deep task now. Unless a message
// goes there anyway, it must be able to take several, or half of all it may have.
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

// mayTakeDeep reports whether an agent could take a deep task if enough waited.
func (p *Placer) couldTakeBulk(a *agent) bool {
	return a.mayQueue() && len(a.sent) < a.credit+maxBulkPerAgent
}

// mostExtra returns how many deep tasks may wait at an agent beyond its credit:
// Tuning.Deep for each slot, or what its slots run in Tuning.DeepFor if that is more.
func (p *Placer) maxBulkWaiting(s *service, a *agent) int {
	rounds := p.limits.BulkPerSlot
	if usual := s.learned.meanRunTime(); usual > 0 {
		rounds = max(rounds, int(p.limits.BulkWait/usual))
	}
	return min(rounds*a.capacity.Slots, maxBulkPerAgent)
}

// maxExtra bounds the deep tasks that wait at an agent beyond its credit. It was
// chosen so that several entries together stay below what an agent lets wait.
const maxBulkPerAgent = 128
