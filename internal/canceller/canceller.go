// Package canceller keeps the jobs that were cancelled, and finds out which entry has one.
//
// A caller's cancel may reach an entry that does not have the job, and a request for a job that was
// cancelled may arrive again seconds later, at any entry. So each entry tells the others of the
// cancels that it receives, and remembers all of them for some time. An entry that does not
// have the job asks the others, and answers the caller once all of them have answered.
//
// A [Canceller] does no I/O: it is given events and the time. Times are durations on the process's
// clock.
package canceller

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a canceller.
type Limits struct {
	// RecordLifetime is how long a cancel is remembered. It is longer than requests arrive again
	// after the cancel of their job.
	RecordLifetime time.Duration
	// MaxFound and MaxUnknown are the largest numbers of cancels that are remembered, the latest ones:
	// of jobs that an entry had, and of others. Anyone can cancel any number of jobs that no entry has.
	MaxFound, MaxUnknown int
	// AnswerTimeout is how long the other entries may take to answer.
	AnswerTimeout time.Duration
}

// Canceller is the state of one entry.
type Canceller struct {
	limits Limits
	// found and unknown are the cancels of jobs that an entry had and of others, ordered by the time at
	// which they were added.
	found, unknown []record
	latest         map[string]record // latest has the record of each job that expires last.
	asked          map[string]*question
}

// record is a cancel that is remembered.
type record struct {
	job         string
	cancelledAt time.Duration
	isFound     bool
}

// question is a cancel that waits for the answers of other entries.
type question struct {
	waiting  map[messenger.Peer]bool // waiting has the entries that have not answered.
	found    bool                    // found is set if one of them had the job.
	lost     bool                    // lost is set if one of them cannot answer any more.
	answerBy time.Duration
}

// Outcome is what became of a cancel.
type Outcome string

// The outcomes of cancels.
const (
	OutcomeCancelled  Outcome = "cancelled"
	OutcomeUnknown    Outcome = "unknown"    // No entry has the job.
	OutcomeUnanswered Outcome = "unanswered" // An entry that may have the job has not answered.
)

// Result is the end of a cancel that was asked about.
type Result struct {
	Job     string
	Outcome Outcome
}

// New returns a canceller that knows of no cancel.
func New(l Limits) *Canceller {
	return &Canceller{limits: l, latest: make(map[string]record), asked: make(map[string]*question)}
}

// Record remembers that a job was cancelled the given time ago, and whether an entry had it.
func (c *Canceller) Record(now time.Duration, job string, age time.Duration, isFound bool) {
	r := record{job: job, cancelledAt: now - age, isFound: isFound}
	known, isKnown := c.latest[job]
	if isKnown {
		r.cancelledAt = max(r.cancelledAt, known.cancelledAt)
		r.isFound = r.isFound || known.isFound
	}
	if now >= c.expires(r) || isKnown && r == known {
		return
	}
	records, most := &c.unknown, c.limits.MaxUnknown
	if r.isFound {
		records, most = &c.found, c.limits.MaxFound
	}
	for len(*records) > 0 && (now >= c.expires((*records)[0]) || len(*records) >= most) {
		c.remove((*records)[0])
		*records = (*records)[1:]
	}
	*records = append(*records, r)
	c.latest[job] = r
}

func (c *Canceller) expires(r record) time.Duration { return r.cancelledAt + c.limits.RecordLifetime }

// remove forgets a cancel, unless there is a later one of the same job.
func (c *Canceller) remove(r record) {
	if c.latest[r.job] == r {
		delete(c.latest, r.job)
	}
}

// IsCancelled reports whether a job was cancelled.
func (c *Canceller) IsCancelled(now time.Duration, job string) bool {
	r, ok := c.latest[job]
	return ok && now < c.expires(r)
}

// Recent returns the latest cancels, at most the given number, with the times since then. Those of jobs
// that an entry had come first.
func (c *Canceller) Recent(now time.Duration, most int) (cancels []messenger.Cancellation) {
	for _, records := range [][]record{c.found, c.unknown} {
		for _, r := range records[max(0, len(records)+len(cancels)-most):] {
			if now < c.expires(r) {
				cancels = append(cancels, messenger.Cancellation{Job: r.job, Step: messenger.CancellationTold, Age: now - r.cancelledAt, IsFound: r.isFound})
			}
		}
	}
	return cancels
}

// Ask begins a question to other entries, or adds them to the one about the same job.
func (c *Canceller) Ask(now time.Duration, job string, entries []messenger.Peer) {
	q := c.asked[job]
	if q == nil {
		q = &question{waiting: make(map[messenger.Peer]bool)}
		c.asked[job] = q
	}
	q.answerBy = now + c.limits.AnswerTimeout
	for _, entry := range entries {
		q.waiting[entry] = true
	}
}

// Answered applies the answer of an entry.
func (c *Canceller) Answered(entry messenger.Peer, job string, found bool) {
	if q := c.asked[job]; q != nil && q.waiting[entry] {
		delete(q.waiting, entry)
		q.found = q.found || found
	}
}

// EntryLost applies the end of the connection to an entry, which may have the job.
func (c *Canceller) EntryLost(entry messenger.Peer) {
	for _, q := range c.asked {
		if q.waiting[entry] {
			delete(q.waiting, entry)
			q.lost = true
		}
	}
}

// Take returns the questions that have ended since the last call, ordered by job.
func (c *Canceller) Take(now time.Duration) (results []Result) {
	for _, job := range slices.Sorted(maps.Keys(c.asked)) {
		q := c.asked[job]
		r := Result{Job: job, Outcome: OutcomeUnknown}
		switch {
		case q.found:
			r.Outcome = OutcomeCancelled
		case len(q.waiting) > 0 && now < q.answerBy:
			continue
		case q.lost || len(q.waiting) > 0:
			r.Outcome = OutcomeUnanswered
		}
		delete(c.asked, job)
		results = append(results, r)
	}
	return results
}
