package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// clock runs events in order of virtual time.
type clock struct {
	now          time.Duration
	lastSequence uint64
	events       eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64 // sequence orders events of the same time by creation.
	run      func()
}

// after schedules an event.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(t time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: t, sequence: c.lastSequence, run: run})
}

// run runs all events up to and including the end time.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// link delivers the messages of one direction with a delay, in order.
type link struct {
	clock       *clock
	random      *rand.Rand
	delay       time.Duration
	lossRatio   float64
	lastArrival time.Duration // lastArrival is the arrival time of the latest message.
}

func (l *link) send(deliver func()) {
	at := l.clock.now + l.delay + time.Duration(l.random.Int64N(int64(jitter)))
	if l.lossRatio > 0 && l.random.Float64() < l.lossRatio {
		at += retransmit
	}
	l.lastArrival = max(l.lastArrival, at)
	l.clock.at(l.lastArrival, deliver)
}
