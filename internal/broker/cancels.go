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
	// cancelMemory is how long a cancelled job is remembered, and maxCancels how many are.
	cancelMemory = time.Minute
	maxCancels   = 1 << 16
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
	b.canceller.Record(elapsed, job, 0)
	message := messenger.Cancellation{Job: job, Step: messenger.CancellationTold}
	switch {
	case b.assigner.Cancel(elapsed, job):
		outcomes <- canceller.OutcomeCancelled
	case len(b.entries) == 0:
		outcomes <- canceller.OutcomeUnknown
	default:
		message.Step = messenger.CancellationAsked
		b.cancelWaiters[job] = append(b.cancelWaiters[job], outcomes)
		b.canceller.Ask(elapsed, job, slices.Collect(maps.Keys(b.entries)))
	}
	for _, c := range b.entries {
		sendCancellations(c, message)
	}
}

func sendCancellations(c *connector.Conn, cancellations ...messenger.Cancellation) {
	c.Send(&messenger.Frame{Cancellations: cancellations})
}

// tellCancels tells an entry that has connected of the latest cancels.
func (b *Broker) tellCancels(now time.Time, c *connector.Conn) {
	if recent := b.canceller.Recent(b.loop.Elapsed(now), maxToldCancels); len(recent) > 0 {
		sendCancellations(c, recent...)
	}
}

// receiveCancellations applies the cancels of another entry, and its answers.
func (b *Broker) receiveCancellations(now time.Time, peer messenger.Peer, cancellations []messenger.Cancellation) {
	elapsed := b.loop.Elapsed(now)
	for _, m := range cancellations {
		switch m.Step {
		case messenger.CancellationFound, messenger.CancellationUnknown:
			b.canceller.Answered(peer, m.Job, m.Step == messenger.CancellationFound)
		case messenger.CancellationTold, messenger.CancellationAsked:
			b.canceller.Record(elapsed, m.Job, m.Age)
			found := b.assigner.Cancel(elapsed, m.Job)
			if m.Step == messenger.CancellationAsked {
				b.sendToEntry(peer, answerFrame(m.Job, found))
			}
		}
	}
	b.endCancels(now)
}

// answerFrame returns the answer to the question whether this entry had a job.
func answerFrame(job string, found bool) *messenger.Frame {
	m := messenger.Cancellation{Job: job, Step: messenger.CancellationUnknown}
	if found {
		m.Step = messenger.CancellationFound
	}
	return &messenger.Frame{Cancellations: []messenger.Cancellation{m}}
}

// endCancels answers the callers whose cancels have ended.
func (b *Broker) endCancels(now time.Time) {
	for _, r := range b.canceller.Take(b.loop.Elapsed(now)) {
		b.settings.Journal.Line("cancel-ended").Str("job", r.Job).Str("reason", string(r.Outcome)).Msg("")
		for _, outcomes := range b.cancelWaiters[r.Job] {
			outcomes <- r.Outcome
		}
		delete(b.cancelWaiters, r.Job)
	}
}
