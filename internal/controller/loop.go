// Package controller runs a process's control thread and publishes values from it.
//
// The control thread is one goroutine that owns all control state. Other goroutines
// post events to it. It applies the events that are queued, up to a limit, and then
// flushes once, so that a burst of events results in one batch of messages. State that
// other goroutines may read is published as an immutable value in a [Cell].
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"sardinelock.dev/sardinelock/internal/timer"
)

const (
	// queueCapacity is the number of events that can be queued; Post blocks while the
	// queue is full.
	queueCapacity = 8192
	// maxBatchEvents is the largest number of events that are applied before a flush.
	maxBatchEvents = 512
)

// Event is applied on the control thread.
type Event func(now time.Time)

// Loop is the control thread.
type Loop struct {
	clock  timer.Clock
	events chan Event
	// flush is called on the control thread after each batch of events.
	flush   func(now time.Time)
	done    chan struct{}
	busy    atomic.Int64 // busy is the time spent on batches and flushes, in nanoseconds.
	applied atomic.Uint64
}

// New returns a loop that calls flush after each batch. Run starts it.
func New(flush func(now time.Time)) *Loop { return NewOnClock(timer.NewClock(), flush) }

// NewOnClock is like [New] for a loop on the given clock.
func NewOnClock(clock timer.Clock, flush func(now time.Time)) *Loop {
	return &Loop{
		clock:  clock,
		events: make(chan Event, queueCapacity),
		flush:  flush,
		done:   make(chan struct{}),
	}
}

// Now returns the time on the loop's clock. Each event is applied with this time.
func (l *Loop) Now() time.Time { return l.clock.Now() }

// Elapsed returns the time from the start of the loop's clock to an event's time.
func (l *Loop) Elapsed(now time.Time) time.Duration { return now.Sub(l.clock.Start) }

// WallClockOffset returns how far the wall clock is ahead of the loop's clock.
func (l *Loop) WallClockOffset() time.Duration { return l.clock.OffsetOf(time.Now()) }

// Busy returns the time that the control thread has spent on its batches, and the number
// of events that it has applied.
func (l *Loop) Busy() (time.Duration, uint64) {
	return time.Duration(l.busy.Load()), l.applied.Load()
}

// Post queues an event for the control thread. It blocks while the queue is full and
// returns false if the loop has ended.
func (l *Loop) Post(e Event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// Call posts an event and waits until it has been applied. It returns false if the loop
// ended before. It must not be called on the control thread.
func (l *Loop) Call(e Event) bool {
	applied := make(chan struct{})
	posted := l.Post(func(now time.Time) {
		e(now)
		close(applied)
	})
	if !posted {
		return false
	}
	select {
	case <-applied:
		return true
	case <-l.done:
		return false
	}
}

// Run applies events until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			l.applyBatch(e)
		}
	}
}

func (l *Loop) applyBatch(first Event) {
	// The time is read for each event and for the flush. The process may be suspended
	// between any two of them, and the holder of a lease must notice that time.
	start := l.Now()
	first(start)
	applied := uint64(1)
	for range maxBatchEvents - 1 {
		select {
		case e := <-l.events:
			e(l.Now())
			applied++
			continue
		default:
		}
		break
	}
	l.flush(l.Now())
	l.busy.Add(int64(l.Now().Sub(start)))
	l.applied.Add(applied)
}
