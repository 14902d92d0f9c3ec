package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// timer is a time at which a job must be checked for expiry. A job may have several
// timers. They are never removed early; one that no longer applies has no effect.
type timer struct {
	at time.Time
	id identifier.Submission
}

// timerHeap is a binary heap with the earliest time first.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	*h = append(*h, t)
	s := *h
	for i := len(s) - 1; i > 0; {
		parent := (i - 1) / 2
		if !s[i].at.Before(s[parent].at) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

func (h *timerHeap) pop() timer {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s = s[:last]
	*h = s
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && s[child+1].at.Before(s[child].at) {
			child++
		}
		if child >= last || !s[child].at.Before(s[i].at) {
			return first
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}

// expire applies the deadlines, the grace period and the retention time of a job.
func (o *Owner) expire(now time.Time, j *job) {
	if j.phase != phaseOpen {
		o.expireWaiters(now, j)
		if !now.Before(j.retainUntil) {
			o.evict(j)
			return
		}
		o.expireAbandoned(now, j)
		return
	}
	if !now.Before(j.spec.Deadline) {
		o.stop(now, j, submitter.ReasonDeadlineExceeded, "the deadline passed before every task had ended")
		return
	}
	o.expireWaiters(now, j)
	o.expireAbandoned(now, j)
}

// expireAbandoned cancels a job for which no request has waited during the grace
// period. The grace period of a recovered job starts again while requests for it may
// still arrive.
func (o *Owner) expireAbandoned(now time.Time, j *job) {
	if j.abandonedAt.IsZero() || now.Sub(j.abandonedAt) < o.limits.AbandonGrace || !o.mayRun(j) {
		return
	}
	if j.phase == phaseRecovered && o.RequestsExpected(now, j.spec.Submission) {
		o.startGrace(now, j)
		return
	}
	o.stop(now, j, submitter.ReasonCancelled, "no request waits for the job")
}

// startGrace starts the grace period of a job for which no request waits.
func (o *Owner) startGrace(now time.Time, j *job) {
	j.abandonedAt = now
	o.timers.push(timer{at: now.Add(o.limits.AbandonGrace), id: j.spec.Submission})
}

// mayRun reports whether a job has no answer and may be running. A former owner
// cannot have answered complete for a recovered job that still has a task at an
// agent, so such a job may still be answered with failed.
func (o *Owner) mayRun(j *job) bool {
	return j.phase == phaseOpen || j.phase == phaseRecovered && !j.answerLost && j.countInState(taskSent) > 0
}

// expireAtOnce fails an open job whose request arrived after its deadline.
func (o *Owner) expireAtOnce(now time.Time, j *job) {
	if j.phase == phaseOpen && !now.Before(j.spec.Deadline) {
		o.expire(now, j)
	}
}

// expireWaiters answers the waiting requests whose own deadline has passed.
func (o *Owner) expireWaiters(now time.Time, j *job) {
	for i := 0; i < len(j.waiters); {
		w := j.waiters[i]
		if now.Before(w.deadline) {
			i++
			continue
		}
		o.removeWaiter(now, j, w.Waiter)
		o.out.Answers = append(o.out.Answers, Answered{
			Waiter: w.Waiter,
			Answer: unknown(j.spec.Submission, submitter.ReasonDeadlineExceeded, "the deadline of this request passed while the job went on"),
		})
	}
}

// evict removes a job that is not open and answers the requests that wait for it.
func (o *Owner) evict(j *job) {
	o.answerWaiters(j, unknown(j.spec.Submission, submitter.ReasonStale, "the record of the submission has expired"))
	o.remove(j)
}

// answerWaiters sends an answer to every request that waits for a job.
func (o *Owner) answerWaiters(j *job, a *messenger.Answer) {
	for _, w := range j.waiters {
		delete(o.jobOfWaiter, w.Waiter)
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w.Waiter, Answer: a})
	}
	j.waiters = nil
}

// remove deletes a job and all references to it except its timers, which have no
// effect without the job.
func (o *Owner) remove(j *job) {
	for _, w := range j.waiters {
		delete(o.jobOfWaiter, w.Waiter)
	}
	o.unlinkAgents(j)
	if o.keyHolders[j.spec.RequestKey] == j.spec.Submission {
		delete(o.keyHolders, j.spec.RequestKey)
	}
	if j.phase == phaseOpen {
		o.openCount--
	}
	o.dropResults(j)
	o.recordBytes -= j.accountedBytes
	o.jobs.remove(j)
}

// retainResults retains the results of an answered job. It drops the oldest retained
// results until the total is within MaxAnswerBytes.
func (o *Owner) retainResults(j *job) {
	size := resultBytes(j.answer)
	if size == 0 {
		return
	}
	o.retainedResultBytes += size
	o.withResults = append(o.withResults, j.spec.Submission)
	for len(o.withResults) > 0 {
		oldest := o.jobs.get(o.withResults[0])
		if oldest != nil && oldest.hasResults() && o.retainedResultBytes <= o.limits.MaxAnswerBytes {
			return
		}
		if oldest != nil {
			o.dropResults(oldest)
		}
		o.withResults = o.withResults[1:]
	}
}

// dropResults frees the results of an answered job. The record of the job stays.
func (o *Owner) dropResults(j *job) {
	if !j.hasResults() {
		return
	}
	o.retainedResultBytes -= resultBytes(j.answer)
	j.answer = answerLost(j.spec.Submission)
	j.answerLost = true
}

func resultBytes(a *messenger.Answer) int {
	n := 0
	for _, r := range a.Results {
		n += len(r) + sliceBytes
	}
	return n
}

func answerLost(s identifier.Submission) *messenger.Answer {
	return unknown(s, submitter.ReasonAnswerLost, "the job ran; its answer is no longer kept")
}
