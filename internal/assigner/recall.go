package assigner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// SubmitAfter adds a job of which an earlier submission may run at another entry. It is admitted
// once [Assigner.EndedElsewhere] is called, and until then has the deadlines of any waiting job.
func (a *Assigner) SubmitAfter(now time.Duration, s Job) {
	j := a.jobs[s.ID]
	if j == nil {
		// The earlier submission is represented by a job without tasks.
		j = &job{Job: Job{ID: s.ID}, answered: true}
		a.jobs[s.ID] = j
	}
	if !j.elsewhere {
		// The runs elsewhere count as one more task that may be running.
		j.elsewhere = true
		j.running++
	}
	a.Submit(now, s)
}

// EndedElsewhere applies the end of all runs that a submission at another entry has had, or of the
// wait for it.
func (a *Assigner) EndedElsewhere(now time.Duration, id string) {
	j := a.jobs[id]
	if j == nil || !j.elsewhere {
		return
	}
	j.elsewhere = false
	j.running--
	a.forget(now, j)
}

// Recall ends a job because its caller has submitted it to another entry, and reports whether the
// job may have runs here. If so, the job is in the output's Recalled once it has none.
func (a *Assigner) Recall(now time.Duration, id string) bool {
	j := a.jobs[id]
	if j == nil {
		return false
	}
	a.giveUpSubmissions(now, j, "resubmitted-elsewhere")
	j.recalled = true
	a.forget(now, j)
	return true
}

// giveUpSubmissions answers the submissions of a job that have no answer yet, since its caller has
// submitted it again, and drops its tasks.
func (a *Assigner) giveUpSubmissions(now time.Duration, j *job, reason string) {
	if !j.answered {
		a.logDecision(Decision{Event: "job-resubmitted", Task: messenger.TaskRef{Job: j.ID}, Reason: j.progress(), JobAge: now - j.arrived})
		a.drop(j)
		a.setAnswered(j)
		a.answer(now, j, OutcomeGivenUp, reason, 0)
	}
	if last := j.replacement; last != nil && !last.answered {
		a.setAnswered(last)
		a.answer(now, last, OutcomeGivenUp, reason, 0)
	}
}

// OpenJobs returns the jobs, in order, that arrived at least minAge ago and may have runs here, and
// that it has not returned within the last interval.
func (a *Assigner) OpenJobs(now, minAge, interval time.Duration) (ids []string) {
	for _, j := range a.jobs {
		if now-j.arrived < minAge || j.elsewhere || j.toldAt > 0 && now-j.toldAt < interval {
			continue
		}
		j.toldAt = now
		ids = append(ids, j.ID)
	}
	slices.Sort(ids)
	return ids
}

// ToldJobs returns the jobs, in order, that OpenJobs has returned and that may have runs here.
func (a *Assigner) ToldJobs() (ids []string) {
	for _, j := range a.jobs {
		if j.toldAt > 0 {
			ids = append(ids, j.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

const (
	// entryReturnTime is the time after the loss of the connection to an entry in which it may
	// connect again and recall jobs, if it was not the entry that ended.
	entryReturnTime = time.Second
	// entryBackTime is the time after another entry has connected in which it recalls the jobs that it
	// is told of then.
	entryBackTime = 300 * time.Millisecond
	// cutOffMemory is how long after the loss of an entry this one counts as cut off when it has
	// no agent either.
	cutOffMemory = 10 * time.Second
	// pauseThreshold is the shortest time between two calls of Advance, which are some 20 ms apart,
	// that counts as a pause of this entry, and catchUpTime the time after it in which the messages
	// that came meanwhile are read.
	pauseThreshold = 200 * time.Millisecond
	catchUpTime    = 100 * time.Millisecond
)

// EntryLost applies the end of the connection to another entry.
func (a *Assigner) EntryLost(now time.Duration) {
	a.entryLostAt = now
	a.recallsUntil = now + entryReturnTime
}

// EntryBack applies a new connection to another entry.
func (a *Assigner) EntryBack(now time.Duration) {
	a.recallsUntil = max(a.recallsUntil, now+entryBackTime)
}

// noticeReturn applies that an agent connects. If it is the first one after the loss of an entry, this
// entry was cut off, and recalls of its jobs may come only now.
func (a *Assigner) noticeReturn(now time.Duration) {
	if len(a.agents) == 0 && a.entryLostAt > 0 && now-a.entryLostAt < cutOffMemory {
		a.recallsUntil = max(a.recallsUntil, now+entryReturnTime)
	}
}

// noticePause records a pause of this entry.
func (a *Assigner) noticePause(now time.Duration) {
	if now-a.advancedAt > pauseThreshold {
		if a.advancedAt >= a.catchUpUntil {
			a.pausedAt = a.advancedAt
		}
		a.catchUpUntil = now + catchUpTime
		a.recallsUntil = max(a.recallsUntil, a.catchUpUntil)
	}
	a.advancedAt = now
}

// mayBeRecalled reports whether a job may have been submitted to another entry while this one could
// not be told of it. Nothing of such a job is launched, until its recall would have come.
func (a *Assigner) mayBeRecalled(now time.Duration, j *job) bool {
	return a.limits.ResubmitDelay > 0 && now < a.recallsUntil && now-j.arrived >= a.limits.ResubmitDelay
}
