package experimenter

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// clock runs events in the order of their virtual time.
type clock struct {
	now    time.Duration
	next   uint64
	events eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64 // sequence keeps events of one time in the order of their making.
	run      func()
}

// after plans an event.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(t time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{at: t, sequence: c.next, run: run})
}

// run runs all events up to the end.
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

// link delays messages of one direction and keeps their order.
type link struct {
	clock  *clock
	random *rand.Rand
	delay  time.Duration
	loss   float64
	last   time.Duration // last is when the latest message arrives.
}

func (l *link) send(deliver func()) {
	at := l.clock.now + l.delay + time.Duration(l.random.Int64N(int64(jitter)))
	if l.loss > 0 && l.random.Float64() < l.loss {
		at += retransmit
	}
	l.last = max(l.last, at)
	l.clock.at(l.last, deliver)
}
