// Package tracker keeps the directory of the ephemeral jobs that other entries have open.
//
// A caller whose connection breaks submits its job again, to any entry, and the entry that has the
// job open may not notice the break. Entries tell each other of the jobs that have been open for
// some time, which is before a caller submits again, so that a second submission recalls the
// first one before it starts.
//
// The directory is an aid: where it has no record, since an entry has just started, is cut off or
// has reached a limit, the time after which callers submit again separates the submissions.
//
// A [Tracker] does no I/O: it is given events and the time. Times are durations on the process's
// clock.
package tracker

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a tracker.
type Limits struct {
	// RecordLifetime is how long a record is kept. It is longer than the interval at which an
	// entry tells of the same job again.
	RecordLifetime time.Duration
	// MaxRecords is the largest number of records. Jobs beyond it are not recorded.
	MaxRecords int
	// AnswerTimeout is how long an entry may take to accept a recall. One that does not is
	// paused or cut off, and its runs end without contact.
	AnswerTimeout time.Duration
}

// Tracker is the directory of one entry.
type Tracker struct {
	limits  Limits
	records map[string]record
	recalls map[string]recall
	omitted uint64 // omitted counts the jobs that were not recorded because of MaxRecords.
}

// record is a job that another entry has open.
type record struct {
	owner   messenger.Peer
	expires time.Duration
}

// recall is a recall that has not ended.
type recall struct {
	owner      messenger.Peer
	answerBy   time.Duration // answerBy is when the recall is given up unless it is accepted.
	isAccepted bool
}

// New returns an empty tracker.
func New(l Limits) *Tracker {
	return &Tracker{limits: l, records: make(map[string]record), recalls: make(map[string]recall)}
}

// Opened records that an entry has a job open.
func (t *Tracker) Opened(now time.Duration, owner messenger.Peer, job string) {
	if _, known := t.records[job]; !known && len(t.records) >= t.limits.MaxRecords {
		t.omitted++
		return
	}
	t.records[job] = record{owner: owner, expires: now + t.limits.RecordLifetime}
}

// Omitted returns the number of jobs that were not recorded because the directory was full.
func (t *Tracker) Omitted() uint64 { return t.omitted }

// Owner returns the entry that has a job open, if one is recorded.
func (t *Tracker) Owner(now time.Duration, job string) (owner messenger.Peer, ok bool) {
	r, ok := t.records[job]
	return r.owner, ok && now < r.expires
}

// Recall begins the recall of a job from its owner.
func (t *Tracker) Recall(now time.Duration, owner messenger.Peer, job string) {
	t.recalls[job] = recall{owner: owner, answerBy: now + t.limits.AnswerTimeout}
}

// Accepted applies the owner's acceptance of a recall.
func (t *Tracker) Accepted(owner messenger.Peer, job string) {
	if r, ok := t.recalls[job]; ok && r.owner == owner {
		r.isAccepted = true
		t.recalls[job] = r
	}
}

// Ended applies the end of all runs of a job at its owner. It reports whether that ends a recall.
func (t *Tracker) Ended(owner messenger.Peer, job string) bool {
	if t.records[job].owner == owner {
		delete(t.records, job)
	}
	if r, ok := t.recalls[job]; !ok || r.owner != owner {
		return false
	}
	delete(t.recalls, job)
	return true
}

// OwnerGone applies the end of the connection to an entry. It returns the jobs, in order, whose
// recalls end without an answer.
func (t *Tracker) OwnerGone(owner messenger.Peer) []string {
	for job, r := range t.records {
		if r.owner == owner {
			delete(t.records, job)
		}
	}
	return t.endRecalls(func(r recall) bool { return r.owner == owner })
}

// Expire removes the records that have expired.
func (t *Tracker) Expire(now time.Duration) {
	for job, r := range t.records {
		if now >= r.expires {
			delete(t.records, job)
		}
	}
}

// Unanswered ends the recalls that were not accepted in time, and returns their jobs in order.
func (t *Tracker) Unanswered(now time.Duration) []string {
	return t.endRecalls(func(r recall) bool { return !r.isAccepted && now >= r.answerBy })
}

// endRecalls ends the recalls that are selected and returns their jobs in order.
func (t *Tracker) endRecalls(selected func(recall) bool) (jobs []string) {
	for job, r := range t.recalls {
		if selected(r) {
			delete(t.recalls, job)
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs
}
