package coordinator

import (
	"container/heap"
	"slices"
	"time"
)

// expiry is the time at which a forwarded request is answered here if no owner has
// answered it.
type expiry struct {
	at     time.Time
	ticket uint64
}

// expiries is a heap with the earliest expiry first. An expiry has no effect if its
// request has been answered in the meantime.
type expiries []expiry

// Len implements heap.Interface.
func (e expiries) Len() int { return len(e) }

// Less implements heap.Interface. Tickets break ties, so that simulated histories are
// reproducible.
func (e expiries) Less(a, b int) bool {
	if e[a].at.Equal(e[b].at) {
		return e[a].ticket < e[b].ticket
	}
	return e[a].at.Before(e[b].at)
}

// Swap implements heap.Interface.
func (e expiries) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// dropAnswered removes the expiries of requests that have been answered.
func (e *expiries) dropAnswered(forwards map[uint64]*forward) {
	*e = slices.DeleteFunc(*e, func(x expiry) bool { return forwards[x.ticket] == nil })
	heap.Init(e)
}

// takeExpired removes and returns the tickets that have expired.
func (e *expiries) takeExpired(now time.Time) []uint64 {
	var out []uint64
	for len(*e) > 0 && !now.Before((*e)[0].at) {
		out = append(out, heap.Pop(e).(expiry).ticket)
	}
	return out
}
