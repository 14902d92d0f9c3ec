package tracker

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// inquiry is the question to the other entries whether they have a job whose request was read late
// here. It has, for each entry that has not answered, until when its answer is waited for.
type inquiry map[messenger.Peer]time.Duration

// Inquire begins an inquiry about a job. It concerns the connected entries, and those that may connect
// again, since their connections have ended within AnswerTimeout. It reports whether there is any.
func (t *Tracker) Inquire(now time.Duration, job string, connected []messenger.Peer) bool {
	q := make(inquiry)
	for peer, lostAt := range t.lost {
		if until := lostAt + t.limits.AnswerTimeout; now < until {
			q[peer] = until
		}
	}
	for _, peer := range connected {
		q[peer] = now + t.limits.AnswerTimeout
	}
	if len(q) == 0 {
		return false
	}
	t.inquiries[job] = q
	return true
}

// InquiryAnswered applies an entry's answer. It reports whether the inquiry has not ended before.
func (t *Tracker) InquiryAnswered(peer messenger.Peer, job string) bool {
	q, ok := t.inquiries[job]
	delete(q, peer)
	return ok
}

// EndIfAnswered ends an inquiry if all entries have answered, and reports whether they have.
func (t *Tracker) EndIfAnswered(job string) bool {
	if q, ok := t.inquiries[job]; !ok || len(q) > 0 {
		return false
	}
	delete(t.inquiries, job)
	return true
}

// EndInquiry ends an inquiry without waiting for further answers.
func (t *Tracker) EndInquiry(job string) { delete(t.inquiries, job) }

// Inquiring reports whether an inquiry about a job has not ended.
func (t *Tracker) Inquiring(job string) bool { return t.inquiries[job] != nil }

// Inquiries returns the jobs, in order, with inquiries that have not ended.
func (t *Tracker) Inquiries() []string { return slices.Sorted(maps.Keys(t.inquiries)) }

// EntryUp applies a new connection to an entry. It returns the jobs, in order, about which that is to
// be asked.
func (t *Tracker) EntryUp(now time.Duration, peer messenger.Peer) (jobs []string) {
	delete(t.lost, peer)
	for _, q := range t.inquiries {
		q[peer] = now + t.limits.AnswerTimeout
	}
	return t.Inquiries()
}

// UnansweredInquiries stops waiting for the answers that did not come in time. It returns the jobs,
// in order, whose inquiries end by that.
func (t *Tracker) UnansweredInquiries(now time.Duration) (jobs []string) {
	for job, q := range t.inquiries {
		maps.DeleteFunc(q, func(_ messenger.Peer, until time.Duration) bool { return now >= until })
		if len(q) == 0 {
			delete(t.inquiries, job)
			jobs = append(jobs, job)
		}
	}
	slices.Sort(jobs)
	return jobs
}

// Holds reports whether a job waits for the end of a recall or of an inquiry.
func (t *Tracker) Holds(job string) bool {
	_, recalling := t.recalls[job]
	return recalling || t.Inquiring(job)
}

// IsResubmission reports whether, of two submissions of a job, the one here is the later one. Its age
// is that of its arrival, at the earliest. Two submissions are AnswerTimeout apart at least, so that
// only with half of that the one here, which was read late, is taken for the later one. If both were
// read late, the difference decides as far as it is as large, and otherwise the names of the entries.
func (t *Tracker) IsResubmission(self messenger.Peer, age time.Duration, other messenger.Peer, answer messenger.Inquiry) bool {
	difference, least := answer.Age-age, t.limits.AnswerTimeout/2
	if answer.IsHeld && difference > -least && difference < least {
		return self > other
	}
	return difference >= least
}
