package broker

import (
	"context"
	"time"
)

const (
	// stopAdmittingBefore is how long before the end of the grace period the entry begins
	// to reject new jobs. It is the longest latency objective, so that the jobs that
	// were admitted before can be finished. abandonBefore is how long before the end the jobs that remain are
	// answered without a result.
	stopAdmittingBefore = 2500 * time.Millisecond
	abandonBefore       = 700 * time.Millisecond
	// drainPollInterval is the interval at which a draining entry checks whether jobs are
	// outstanding.
	drainPollInterval = 20 * time.Millisecond
	// finalFlushDelay is how long a drained entry keeps its connections open, so that the
	// last answers can be sent.
	finalFlushDelay = 100 * time.Millisecond
)

// Drain makes the entry report that it is not ready and serves until every job has its
// answer. It serves at least for the notice, in which the load balancer may still send
// jobs because it has not seen the change. It then calls endRequests, which closes idle
// connections of callers, and waits until the requests that have been read are answered or the
// context ends. Shortly before the end of the grace period it abandons the jobs that remain.
func (b *Broker) Drain(grace, notice time.Duration, endRequests func(context.Context) error) {
	b.settings.Journal.Line("draining").Msg("")
	b.draining.Store(true)
	start := time.Now()
	admission := time.AfterFunc(grace-stopAdmittingBefore, b.StopAdmitting)
	defer admission.Stop()
	for time.Since(start) < grace-abandonBefore {
		time.Sleep(drainPollInterval)
		if time.Since(start) >= notice && b.Outstanding() == 0 {
			break
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-abandonBefore))
	err := endRequests(ctx)
	cancel()
	b.settings.Journal.Line("requests-ended").Err(err).Msg("")
	b.StopAdmitting()
	b.AbandonAll()
	time.Sleep(finalFlushDelay)
}
