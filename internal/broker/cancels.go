package broker

import (
	"context"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/canceller"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// cancelMemory is how long a cancelled job is remembered. maxFoundCancels and maxUnknownCancels are
	// how many are: of jobs that an entry had, and of others.
	cancelMemory      = time.Minute
	maxFoundCancels   = 1 << 17
	maxUnknownCancels = 1 << 15
	// cancelAnswerTimeout is how long the other entries may take to answer whether they have a job.
	cancelAnswerTimeout = time.Second
	// maxToldCancels bounds the cancels that an entry is told of when it connects.
	maxToldCancels = 1024
)

// Cancel ends a job, also if another entry has it, and remembers that it was cancelled. If the context
// ends before the outcome is known, the error is of kind [KindCallerLeft].
func (b *Broker) Cancel(ctx context.Context, id string) (canceller.Outcome, error) {
	const op = "cancel"
	outcomes := make(chan canceller.Outcome, 1)
	if !b.loop.Post(func(now time.Time) { b.cancel(now, id, outcomes) }) {
		return "", &Error{Op: op, Kind: KindClosed, Err: context.Canceled}
	}
	select {
	case o := <-outcomes:
		return o, nil
	case <-ctx.Done():
		return "", &Error{Op: op, Kind: KindCallerLeft, Err: ctx.Err()}
	}
}

// cancel ends a job here, or asks the other entries for it. All are told in either case.
func (b *Broker) cancel(now time.Time, job string, outcomes chan<- canceller.Outcome) {
	elapsed := b.loop.Elapsed(now)
	found := b.assigner.Cancel(elapsed, job)
	b.canceller.Record(elapsed, job, 0, found)
	message := messenger.Cancellation{Job: job, Step: messenger.CancellationTold, IsFound: found}
	switch {
	case found:
		outcomes <- canceller.OutcomeCancelled
	case len(b.entries) == 0:
		outcomes <- canceller.OutcomeUnknown
	default:
		message.Step = messenger.CancellationAsked
		b.cancelWaiters[job] = append(b.cancelWaiters[job], outcomes)
		b.canceller.Ask(elapsed, job, slices.Collect(maps.Keys(b.entries)))
	}
	b.queueCancellation(message)
}

// queueCancellation sends a message to the connected entries with the next flush.
func (b *Broker) queueCancellation(m messenger.Cancellation) {
	for _, c := range b.entries {
		b.cancellations[c] = append(b.cancellations[c], m)
	}
}

// sendCancellations sends the queued messages, in one frame for each entry.
func (b *Broker) sendCancellations() {
	for c, messages := range b.cancellations {
		c.Send(&messenger.Frame{Cancellations: messages})
	}
	clear(b.cancellations)
}

// tellCancels tells an entry that has connected of the latest cancels.
func (b *Broker) tellCancels(now time.Time, c *connector.Conn) {
	if recent := b.canceller.Recent(b.loop.Elapsed(now), maxToldCancels); len(recent) > 0 {
		c.Send(&messenger.Frame{Cancellations: recent})
	}
}

// receiveCancellations applies the cancels of another entry, and its answers.
func (b *Broker) receiveCancellations(now time.Time, peer messenger.Peer, cancellations []messenger.Cancellation) {
	if len(cancellations) == 0 {
		return
	}
	elapsed := b.loop.Elapsed(now)
	answers := new(messenger.Frame)
	for _, m := range cancellations {
		switch m.Step {
		case messenger.CancellationFound, messenger.CancellationUnknown:
			b.canceller.Answered(peer, m.Job, m.Step == messenger.CancellationFound)
		case messenger.CancellationTold, messenger.CancellationAsked:
			found := b.assigner.Cancel(elapsed, m.Job)
			b.canceller.Record(elapsed, m.Job, m.Age, found || m.IsFound)
			if m.Step == messenger.CancellationAsked {
				answers.Cancellations = append(answers.Cancellations, cancelAnswer(m.Job, found))
			}
		}
	}
	if len(answers.Cancellations) > 0 {
		b.sendToEntry(peer, answers)
	}
	b.endCancels(now)
}

// cancelAnswer returns the answer to the question whether this entry had a job.
func cancelAnswer(job string, found bool) messenger.Cancellation {
	if found {
		return messenger.Cancellation{Job: job, Step: messenger.CancellationFound}
	}
	return messenger.Cancellation{Job: job, Step: messenger.CancellationUnknown}
}

// endCancels answers the callers whose cancels have ended. If an entry had the job, the others are told.
func (b *Broker) endCancels(now time.Time) {
	elapsed := b.loop.Elapsed(now)
	for _, r := range b.canceller.Take(elapsed) {
		if r.Outcome == canceller.OutcomeCancelled {
			b.canceller.Record(elapsed, r.Job, 0, true)
			b.queueCancellation(messenger.Cancellation{Job: r.Job, Step: messenger.CancellationTold, IsFound: true})
		}
		b.settings.Journal.Line("cancel-ended").Str("job", r.Job).Str("reason", string(r.Outcome)).Msg("")
		for _, outcomes := range b.cancelWaiters[r.Job] {
			outcomes <- r.Outcome
		}
		delete(b.cancelWaiters, r.Job)
	}
}
