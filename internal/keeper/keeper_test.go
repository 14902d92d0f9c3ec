package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

// TestCallsWaitForTheirTurn guards against upstreams that are taken for silent because a job of many tasks
// is started: the calls waited for each other until their time was over, and so did the polls.
func TestCallsWaitForTheirTurn(t *testing.T) {
	const (
		calls    = 200
		callTime = 5 * time.Millisecond
	)
	var mu sync.Mutex
	now, most := make(map[string]int), make(map[string]int)
	var late int
	call := func(ctx context.Context, kind string) {
		mu.Lock()
		now[kind]++
		most[kind] = max(most[kind], now[kind])
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) < callTimeout/2 {
			late++
		}
		mu.Unlock()
		time.Sleep(callTime)
		mu.Lock()
		defer mu.Unlock()
		now[kind]--
	}
	k := runKeeper(t)
	k.settings.Driver.Start = func(ctx context.Context, _ runner.StartCall, _ func() time.Duration) runner.Answer {
		call(ctx, "start")
		return runner.AnswerStarted
	}
	k.settings.Driver.Stop = func(ctx context.Context, _ runner.StopCall) bool {
		call(ctx, "stop")
		return true
	}
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() { k.startTask(runner.StartCall{}) })
		wg.Go(func() { k.stopTask(runner.StopCall{}) })
	}
	wg.Wait()
	if diff := cmp.Diff(map[string]int{"start": maxStartCalls, "stop": maxStopCalls}, most); diff != "" {
		t.Errorf("calls at the same time (-want +got):\n%s", diff)
	}
	if late > 0 {
		t.Errorf("%d calls were made with less than half of their time", late)
	}
}
