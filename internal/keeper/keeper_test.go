package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/runner"
)

// TestFailedPollsAreDelayed checks that an upstream whose connections break at once is
// not polled in a busy loop.
func TestFailedPollsAreDelayed(t *testing.T) {
	for _, status := range []PollStatus{PollLost, PollRefused} {
		t.Run(string(status), func(t *testing.T) {
			var polls atomic.Int64
			j := journaler.New("info", t.Output())
			defer j.Close()
			k, err := New(Settings{
				Instance: "agent-1", Journal: j,
				Driver: Driver{Poll: func(context.Context, runner.PollRequest, func() time.Duration, time.Duration) (runner.Listing, PollStatus) {
					polls.Add(1)
					return runner.Listing{}, status
				}},
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*pollRetryDelay)
			defer cancel()
			if err := k.Run(ctx); err != nil {
				t.Fatal(err)
			}
			// The bound leaves room for the polls during the drain.
			if n := polls.Load(); n > 30+maxImmediateRetries {
				t.Errorf("the upstream was polled %d times in %v", n, 10*pollRetryDelay)
			}
		})
	}
}
