package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// due says when a job must be looked at. A job may have several; one that has
// become meaningless has no effect.
type due struct {
	at time.Time
	id identifier.Submission
}

// dueHeap is a binary heap with the earliest time first.
type dueHeap []due

func (h *dueHeap) push(d due) {
	*h = append(*h, d)
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

func (h *dueHeap) pop() due {
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

// expire applies what is due of a job.
func (o *Owner) expire(now time.Time, j *job) {
	if j.phase != phaseOpen {
		o.expireWaiters(now, j)
		if !now.Before(j.keptTill) {
			o.forget(j)
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

// expireAbandoned ends a job for which no request has waited for the grace time.
// A recovered job, of which this entry may not know every request yet, gets the
// time again.
func (o *Owner) expireAbandoned(now time.Time, j *job) {
	if j.abandoned.IsZero() || now.Sub(j.abandoned) < o.limits.AbandonGrace || !o.runs(j) {
		return
	}
	if j.phase == phaseRecovered && o.RequestsExpected(now, j.spec.Submission) {
		o.abandon(now, j)
		return
	}
	o.stop(now, j, submitter.ReasonCancelled, "no request waits for the job")
}

// abandon begins the grace time of a job for which no request waits.
func (o *Owner) abandon(now time.Time, j *job) {
	j.abandoned = now
	o.due.push(due{at: now.Add(o.limits.AbandonGrace), id: j.spec.Submission})
}

// runs reports whether a job has no answer and may run. A recovered job with a
// task at an agent has had no complete answer under a former owner, so that it may
// still be said to have failed.
func (o *Owner) runs(j *job) bool {
	return j.phase == phaseOpen || j.phase == phaseRecovered && !j.answerLost && j.inState(taskSent) > 0
}

// expireAtOnce ends an open job whose request arrived after its deadline.
func (o *Owner) expireAtOnce(now time.Time, j *job) {
	if j.phase == phaseOpen && !now.Before(j.spec.Deadline) {
		o.expire(now, j)
	}
}

// expireWaiters answers the requests whose own deadline comes before the job's.
func (o *Owner) expireWaiters(now time.Time, j *job) {
	for i := 0; i < len(j.waiters); {
		w := j.waiters[i]
		if now.Before(w.deadline) {
			i++
			continue
		}
		o.unwait(now, j, w.Waiter)
		o.out.Answers = append(o.out.Answers, Answered{
			Waiter: w.Waiter,
			Answer: unknown(j.spec.Submission, submitter.ReasonDeadlineExceeded, "the deadline of this request passed while the job went on"),
		})
	}
}

// forget drops a job that is not open.
func (o *Owner) forget(j *job) {
	o.answerWaiters(j, unknown(j.spec.Submission, submitter.ReasonStale, "the record of the submission has expired"))
	o.remove(j)
}

// answerWaiters gives an answer to every request that waits for a job.
func (o *Owner) answerWaiters(j *job, a *messenger.Answer) {
	for _, w := range j.waiters {
		delete(o.waiting, w.Waiter)
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w.Waiter, Answer: a})
	}
	j.waiters = nil
}

// remove drops a job with all that refers to it but for what is due.
func (o *Owner) remove(j *job) {
	for _, w := range j.waiters {
		delete(o.waiting, w.Waiter)
	}
	o.unlinkAgents(j)
	if o.keys[j.spec.RequestKey] == j.spec.Submission {
		delete(o.keys, j.spec.RequestKey)
	}
	if j.phase == phaseOpen {
		o.open--
	}
	o.dropResults(j)
	o.bytes -= j.bytes
	o.jobs.remove(j)
}

// keepResults bounds the results that are kept, dropping the oldest.
func (o *Owner) keepResults(j *job) {
	size := resultBytes(j.answer)
	if size == 0 {
		return
	}
	o.results += size
	o.kept = append(o.kept, j.spec.Submission)
	for len(o.kept) > 0 {
		oldest := o.jobs.get(o.kept[0])
		if oldest != nil && oldest.hasResults() && o.results <= o.limits.MaxAnswerBytes {
			return
		}
		if oldest != nil {
			o.dropResults(oldest)
		}
		o.kept = o.kept[1:]
	}
}

// dropResults frees the results of an answered job; its record stays.
func (o *Owner) dropResults(j *job) {
	if !j.hasResults() {
		return
	}
	o.results -= resultBytes(j.answer)
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
