package broker

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/tracker"
)

const (
	// tellInterval is the interval at which the other entries are told of open jobs.
	tellInterval = 200 * time.Millisecond
	// tellAge is the age from which they are told of a job. Most jobs end before. Both together
	// are half of the time after which a caller may submit a job again.
	tellAge = 400 * time.Millisecond
	// tellAgainInterval is the interval at which they are told of the same job again.
	tellAgainInterval = 4 * time.Second
)

// trackerLimits returns the limits of the directory of jobs that other entries have open. With
// 1,000 jobs a second that are open for longer than tellAge, 10 s make 10,000 records.
func (s *Settings) trackerLimits() tracker.Limits {
	return tracker.Limits{RecordLifetime: 10 * time.Second, MaxRecords: 1 << 16, AnswerTimeout: s.Limits.ResubmitDelay}
}

// submit passes a job to the assigner. If another entry has the job open, the caller has submitted
// it again, so the job is recalled from that entry and waits until it has no runs there. If the
// request was read late, its caller may have submitted the job to another entry since, so all are asked.
func (b *Broker) submit(now time.Time, j assigner.Job) {
	elapsed := b.loop.Elapsed(now)
	if b.canceller.IsCancelled(elapsed, j.ID) {
		b.deliverAnswer(assigner.Answer{Ticket: j.Ticket, Job: j.ID, Queue: j.Queue, Outcome: assigner.OutcomeCancelled, Reason: "cancelled-before"})
		return
	}
	if b.assigner.ReadLate(elapsed, &j) && b.inquire(elapsed, j) {
		return
	}
	owner, ok := b.tracker.Owner(elapsed, j.ID)
	if !ok {
		b.assigner.Submit(elapsed, j)
		return
	}
	b.assigner.SubmitAfter(elapsed, j)
	b.recall(elapsed, owner, j.ID, "")
}

// recall recalls a job from the entry that has an earlier submission of it open.
func (b *Broker) recall(elapsed time.Duration, owner messenger.Peer, job, reason string) {
	b.logRecall("job-recalled", job, owner, reason)
	b.tracker.Recall(elapsed, owner, job)
	// The recall is sent again when the owner connects again, and through agents until then.
	b.sendToEntry(owner, recallFrame(job, messenger.RecallRequested))
}

// resendRecalls recalls from an entry that is back the jobs whose recalls it has not answered, if
// they still have no answer here.
func (b *Broker) resendRecalls(now time.Time, c *connector.Conn) {
	for _, job := range b.tracker.OwnerBack(b.loop.Elapsed(now), c.Hello().Peer) {
		if known, _ := b.assigner.Known(job); known {
			sendRecall(c, job, messenger.RecallRequested)
		}
	}
}

// endUnanswered admits the jobs whose recalls were not accepted, or whose inquiries were not answered,
// in time.
func (b *Broker) endUnanswered(now time.Time) {
	b.endRecalls(now, "unanswered", b.tracker.Unanswered(b.loop.Elapsed(now)))
	b.endInquiries(now)
	b.endCancels(now)
}

// tellOpenJobs tells the other entries of the jobs that have been open for tellAge.
func (b *Broker) tellOpenJobs(now time.Time) {
	elapsed := b.loop.Elapsed(now)
	b.tracker.Expire(elapsed)
	if open := b.assigner.OpenJobs(elapsed, tellAge, tellAgainInterval); len(open) > 0 {
		f := b.agedJobsFrame(elapsed, open)
		for _, c := range b.entries {
			c.Send(f)
		}
	}
	b.relayOpenJobs(now)
}

func openJobsFrame(ids []string) *messenger.Frame {
	jobs := make([]messenger.OpenJob, len(ids))
	for i, id := range ids {
		jobs[i].Job = id
	}
	return &messenger.Frame{OpenJobs: jobs}
}

// receiveJobs applies what another entry tells or asks about jobs, on its connection or through an agent.
func (b *Broker) receiveJobs(now time.Time, peer messenger.Peer, f *messenger.Frame) {
	b.receiveRecalls(now, peer, f)
	b.receiveInquiries(now, peer, f.Inquiries)
	b.receiveCancellations(now, peer, f.Cancellations)
}

// agedJobsFrame is like openJobsFrame, with the ages of the jobs.
func (b *Broker) agedJobsFrame(elapsed time.Duration, ids []string) *messenger.Frame {
	f := openJobsFrame(ids)
	for i := range f.OpenJobs {
		f.OpenJobs[i].Age, _ = b.assigner.SubmissionAge(elapsed, f.OpenJobs[i].Job)
	}
	return f
}

// recallEarlier recalls a job that another entry tells of, if it was submitted here later. It has been
// launched here, since the other entry was cut off and could not tell of it before.
func (b *Broker) recallEarlier(elapsed time.Duration, owner messenger.Peer, told messenger.OpenJob) {
	open, _ := b.assigner.Known(told.Job)
	age, _ := b.assigner.SubmissionAge(elapsed, told.Job)
	// The ages of two submissions differ by the resubmission delay, less the time that the message took.
	if !open || told.Age-age < b.settings.Limits.ResubmitDelay/2 || b.tracker.IsRecalled(told.Job) {
		return
	}
	b.recall(elapsed, owner, told.Job, "submitted-later")
}

// receiveRecalls applies what another entry tells of its open jobs and of recalls.
func (b *Broker) receiveRecalls(now time.Time, peer messenger.Peer, f *messenger.Frame) {
	elapsed := b.loop.Elapsed(now)
	for _, j := range f.OpenJobs {
		b.tracker.Opened(elapsed, peer, j.Job)
		b.recallEarlier(elapsed, peer, j)
	}
	for _, r := range f.Recalls {
		switch r.Step {
		case messenger.RecallRequested:
			b.acceptRecall(now, peer, r.Job)
		case messenger.RecallAccepted:
			b.tracker.Accepted(peer, r.Job)
		case messenger.RecallEnded:
			if b.tracker.Ended(peer, r.Job) {
				b.endRecalls(now, "ended", []string{r.Job})
			}
		}
	}
}

// acceptRecall ends a job that its caller has submitted to another entry.
func (b *Broker) acceptRecall(now time.Time, peer messenger.Peer, job string) {
	isRepeated := slices.Contains(b.recalledBy[job], peer)
	if !isRepeated && !b.assigner.Recall(b.loop.Elapsed(now), job) {
		b.sendToEntry(peer, recallFrame(job, messenger.RecallEnded))
		return
	}
	if !isRepeated {
		b.recalledBy[job] = append(b.recalledBy[job], peer)
	}
	b.sendToEntry(peer, recallFrame(job, messenger.RecallAccepted))
}

// answerRecalls tells the entries that have recalled a job that none of its tasks may be running.
func (b *Broker) answerRecalls(job string) {
	for _, peer := range b.recalledBy[job] {
		b.sendToEntry(peer, recallFrame(job, messenger.RecallEnded))
	}
	delete(b.recalledBy, job)
}

// endRecalls admits the jobs whose recalls have ended.
func (b *Broker) endRecalls(now time.Time, reason string, jobs []string) {
	for _, job := range jobs {
		b.logRecall("job-recall-ended", job, "", reason)
		b.meter.Recalled(reason)
		b.release(now, job)
	}
}

func sendRecall(c *connector.Conn, job string, step messenger.RecallStep) {
	c.Send(recallFrame(job, step))
}

func recallFrame(job string, step messenger.RecallStep) *messenger.Frame {
	return &messenger.Frame{Recalls: []messenger.Recall{{Job: job, Step: step}}}
}

func (b *Broker) logRecall(event, job string, owner messenger.Peer, reason string) {
	b.settings.Journal.Line(event).Str("job", job).Str("peer", string(owner)).Str("reason", reason).Msg("")
}
