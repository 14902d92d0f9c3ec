package broker

import "time"

const (
	// closeBefore is how long before the end of the grace period nothing new is accepted:
	// the longest objective. giveUpBefore is when what is left is answered.
	stopAdmittingBefore   = 2500 * time.Millisecond
	failOutstandingBefore = 700 * time.Millisecond
	// drainPoll is the period at which a draining entry looks at what is left.
	drainPollInterval = 20 * time.Millisecond
	// flushPause is how long a drained entry keeps connections for the last answers.
	finalFlushDelay = 100 * time.Millisecond
)

// Drain serves on until the balancer, which needs a time to notice, sends nothing more
// and every job has its answer, at most for the grace period. The entry is not ready
// from the first.
func (b *Broker) Drain(grace, notice time.Duration) {
	b.settings.Journal.Line("draining").Msg("")
	b.draining.Store(true)
	start := time.Now()
	closed := false
	for time.Since(start) < grace-failOutstandingBefore {
		time.Sleep(drainPollInterval)
		if !closed && time.Since(start) >= grace-stopAdmittingBefore {
			b.StopAdmitting()
			closed = true
		}
		if time.Since(start) >= notice && b.Outstanding() == 0 {
			break
		}
	}
	b.AbandonAll()
	time.Sleep(finalFlushDelay)
}
