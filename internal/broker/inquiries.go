package broker

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// inquire holds a job whose request was read late, and asks the other entries whether they have the
// job. It returns false if there is no other entry. The inquiry is sent with the next flush.
func (b *Broker) inquire(elapsed time.Duration, j assigner.Job) bool {
	asked := slices.AppendSeq(b.relays.reached(), maps.Keys(b.entries))
	if owner, ok := b.tracker.Owner(elapsed, j.ID); ok {
		// Without a connection, the owner may still connect again.
		asked = append(asked, owner)
	}
	if !b.tracker.Inquire(elapsed, j.ID, asked) {
		return false
	}
	b.settings.Journal.Line("job-inquired").Str("job", j.ID).Dur("unread", j.Unread).Msg("")
	b.assigner.SubmitAfter(elapsed, j)
	b.inquired = append(b.inquired, j.ID)
	return true
}

// sendInquiries sends the inquiries since the last flush, in one frame for each entry.
func (b *Broker) sendInquiries() {
	if len(b.inquired) == 0 {
		return
	}
	f := inquiriesFrame(b.inquired)
	for _, c := range b.entries {
		c.Send(f)
	}
	for _, addr := range b.relays.list() {
		b.relay(addr, f)
	}
	b.inquired = b.inquired[:0]
}

func inquiriesFrame(jobs []string) *messenger.Frame {
	f := new(messenger.Frame)
	for _, job := range jobs {
		f.Inquiries = append(f.Inquiries, messenger.Inquiry{Job: job, Step: messenger.InquiryRequested})
	}
	return f
}

// resendInquiries asks an entry that has connected about the jobs that are held.
func (b *Broker) resendInquiries(now time.Time, peer messenger.Peer) {
	if jobs := b.tracker.EntryUp(b.loop.Elapsed(now), peer); len(jobs) > 0 {
		b.sendToEntry(peer, inquiriesFrame(jobs))
	}
}

// receiveInquiries applies the inquiries and the answers of another entry.
func (b *Broker) receiveInquiries(now time.Time, peer messenger.Peer, inquiries []messenger.Inquiry) {
	answers := new(messenger.Frame)
	for _, q := range inquiries {
		switch q.Step {
		case messenger.InquiryRequested:
			answers.Inquiries = append(answers.Inquiries, b.answerInquiry(now, peer, q.Job))
		case messenger.InquiryUnknown, messenger.InquiryOpen:
			b.applyAnswer(now, peer, q)
		}
	}
	if len(answers.Inquiries) > 0 {
		b.sendToEntry(peer, answers)
	}
}

// answerInquiry returns the answer to an inquiry. If the job is unknown, the entry that asks becomes its
// owner, from which a later submission is recalled.
func (b *Broker) answerInquiry(now time.Time, peer messenger.Peer, job string) messenger.Inquiry {
	elapsed := b.loop.Elapsed(now)
	age, open := b.assigner.SubmissionAge(elapsed, job)
	if !open {
		// The record of a third entry, which has the job open, is kept.
		if _, recorded := b.tracker.Owner(elapsed, job); !recorded {
			b.tracker.Opened(elapsed, peer, job)
		}
		return messenger.Inquiry{Job: job, Step: messenger.InquiryUnknown}
	}
	return messenger.Inquiry{Job: job, Step: messenger.InquiryOpen, Age: age, IsHeld: b.tracker.Inquiring(job)}
}

// applyAnswer applies the answer to an inquiry. If the other entry has the job, one of the two
// submissions is the later one: if that is the one here, the job is recalled from the other entry, and
// if not, the caller of the one here has left, and it is given up.
func (b *Broker) applyAnswer(now time.Time, peer messenger.Peer, q messenger.Inquiry) {
	elapsed := b.loop.Elapsed(now)
	if !b.tracker.InquiryAnswered(peer, q.Job) {
		if q.Step == messenger.InquiryOpen {
			b.recallEarlier(elapsed, peer, messenger.OpenJob{Job: q.Job, Age: q.Age})
		}
		return
	}
	if known, _ := b.assigner.Known(q.Job); known && q.Step == messenger.InquiryOpen {
		age, _ := b.assigner.SubmissionAge(elapsed, q.Job)
		if !b.tracker.IsResubmission(b.peer, age, peer, q) {
			b.tracker.EndInquiry(q.Job)
			b.assigner.Recall(elapsed, q.Job)
			b.inquiryEnded(now, q.Job, peer, "resubmitted-elsewhere")
			return
		}
		b.recall(elapsed, peer, q.Job, "")
	}
	if b.tracker.EndIfAnswered(q.Job) {
		b.inquiryEnded(now, q.Job, "", "answered")
	}
}

// endInquiries ends the inquiries that are not answered in time, and those about jobs that have their
// answers.
func (b *Broker) endInquiries(now time.Time) {
	for _, job := range b.tracker.UnansweredInquiries(b.loop.Elapsed(now)) {
		b.inquiryEnded(now, job, "", "unanswered")
	}
	for _, job := range b.tracker.Inquiries() {
		if known, _ := b.assigner.Known(job); !known {
			b.tracker.EndInquiry(job)
			b.inquiryEnded(now, job, "", "job-ended")
		}
	}
}

// inquiryEnded applies the end of an inquiry.
func (b *Broker) inquiryEnded(now time.Time, job string, peer messenger.Peer, reason string) {
	b.logRecall("job-inquiry-ended", job, peer, reason)
	b.meter.Inquired(reason)
	b.release(now, job)
}

// release admits a job unless it waits for another recall or inquiry.
func (b *Broker) release(now time.Time, job string) {
	if !b.tracker.Holds(job) {
		b.assigner.EndedElsewhere(b.loop.Elapsed(now), job)
	}
}
