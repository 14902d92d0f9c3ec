// Package timer provides the periodic ticks and the clocks of a process.
//
// The parts of a process subscribe with an interval and a function. The service calls the
// function of each subscription on a goroutine of its own, so that calls of one
// subscription never overlap. A subscriber that is still busy when its next tick is due
// may miss that tick. Decision code does not use this package: it is given the time with
// each event.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service calls subscribers at their intervals until it is stopped.
type Service struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a running service.
func New() *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{ctx: ctx, cancel: cancel}
}

// Subscribe calls f with the current time at each interval, until the returned function or
// Stop is called. The interval must be positive.
func (s *Service) Subscribe(interval time.Duration, f func(now time.Time)) (unsubscribe func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.wg.Go(func() { tick(ctx, interval, f) })
	return cancel
}

// Stop ends all subscriptions and waits for running calls to return.
func (s *Service) Stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

func tick(ctx context.Context, interval time.Duration, f func(time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}

// Sleep waits for the given time or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
