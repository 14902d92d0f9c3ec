// Package tracker keeps the directory of the ephemeral jobs that other entries have open.
//
// A caller whose connection breaks submits its job again, to any entry, and the entry that has the
// job open may not notice the break. Entries tell each other of the jobs that have been open for
// some time, which is before a caller submits again, so that a second submission recalls the
// first one before it starts. An entry that has read a request late asks the others whether they have
// the job: nothing of it may be told yet.
//
// The directory is an aid: where it has no record, since an entry has just started, is cut off or
// has reached a limit, the time after which callers submit again separates the submissions.
//
// A [Tracker] does no I/O: it is given events and the time. Times are durations on the process's
// clock.
package tracker

import (
	"maps"
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
	// AnswerTimeout is how long an entry may take to accept a recall, to answer an inquiry, or to
	// connect again, and the shortest time after which a caller submits a job again. The
	// runs of one that is paused, has ended or is cut off from the agents have ended by then.
	AnswerTimeout time.Duration
}

// Tracker is the directory of one entry.
type Tracker struct {
	limits  Limits
	records map[string]record
	recalls map[string]recall
	// overdue has the recalls that were given up: the owner may launch tasks of the job once it is
	// back.
	overdue   map[string]record
	inquiries map[string]inquiry
	// lost has the entries whose connections have ended within AnswerTimeout, with the times.
	lost    map[messenger.Peer]time.Duration
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
	return &Tracker{
		limits: l, records: make(map[string]record), recalls: make(map[string]recall), overdue: make(map[string]record),
		inquiries: make(map[string]inquiry), lost: make(map[messenger.Peer]time.Duration),
	}
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

// IsRecalled reports whether a job has a recall that has not ended, also if it was given up.
func (t *Tracker) IsRecalled(job string) bool {
	_, waits := t.recalls[job]
	_, isOverdue := t.overdue[job]
	return waits || isOverdue
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
	for _, records := range []map[string]record{t.records, t.overdue} {
		if records[job].owner == owner {
			delete(records, job)
		}
	}
	if r, ok := t.recalls[job]; !ok || r.owner != owner {
		return false
	}
	delete(t.recalls, job)
	return true
}

// OwnerGone applies the end of the connection to an entry. Its recalls and records remain for the
// time in which it may connect again.
func (t *Tracker) OwnerGone(now time.Duration, owner messenger.Peer) {
	until := now + t.limits.AnswerTimeout
	t.lost[owner] = now
	for job, r := range t.records {
		if r.owner == owner {
			r.expires = min(r.expires, until)
			t.records[job] = r
		}
	}
	for job, r := range t.recalls {
		if r.owner == owner {
			t.recalls[job] = recall{owner: owner, answerBy: until}
		}
	}
}

// OwnerBack applies a new connection to an entry. It returns the jobs, in order, to recall from it:
// those whose recalls have not ended, also if they were given up.
func (t *Tracker) OwnerBack(now time.Duration, owner messenger.Peer) (jobs []string) {
	for job, r := range t.recalls {
		if r.owner == owner {
			t.recalls[job] = recall{owner: owner, answerBy: now + t.limits.AnswerTimeout}
		}
	}
	return t.NotEnded()[owner]
}

// NotEnded returns, by owner and in order, the jobs whose recalls have not ended, also if they were
// given up.
func (t *Tracker) NotEnded() map[messenger.Peer][]string {
	jobs := make(map[messenger.Peer][]string)
	for job, r := range t.recalls {
		jobs[r.owner] = append(jobs[r.owner], job)
	}
	for job, r := range t.overdue {
		jobs[r.owner] = append(jobs[r.owner], job)
	}
	for owner, ids := range jobs {
		slices.Sort(ids)
		jobs[owner] = slices.Compact(ids)
	}
	return jobs
}

// Expire removes the records, the overdue recalls and the lost entries that have expired.
func (t *Tracker) Expire(now time.Duration) {
	expired := func(_ string, r record) bool { return now >= r.expires }
	maps.DeleteFunc(t.records, expired)
	maps.DeleteFunc(t.overdue, expired)
	maps.DeleteFunc(t.lost, func(_ messenger.Peer, at time.Duration) bool { return now >= at+t.limits.AnswerTimeout })
}

// Unanswered gives up the recalls that were not accepted in time, and returns their jobs in order.
func (t *Tracker) Unanswered(now time.Duration) (jobs []string) {
	for job, r := range t.recalls {
		if !r.isAccepted && now >= r.answerBy {
			delete(t.recalls, job)
			t.overdue[job] = record{owner: r.owner, expires: now + t.limits.RecordLifetime}
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs
}
