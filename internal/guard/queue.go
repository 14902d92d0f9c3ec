package guard

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// pending is one task of a start that waits for a slot.
type pending struct {
	from  messenger.Peer
	ref   TaskRef
	start *messenger.Start // start is shared by the tasks of one message and must not be changed.
	task  *messenger.TaskStart
	rank  time.Duration // rank orders the queue; the lowest is first.
}

// startQueue is the queue of starts that wait for a slot, in order of rank.
type startQueue struct {
	items []pending // The first head items have been removed.
	head  int
}

func (q *startQueue) len() int { return len(q.items) - q.head }

// insert adds a start after all starts of the same rank.
func (q *startQueue) insert(p pending) {
	i := len(q.items)
	for i > q.head && q.items[i-1].rank > p.rank {
		i--
	}
	q.items = slices.Insert(q.items, i, p)
}

func (q *startQueue) first() *pending { return &q.items[q.head] }

// pop removes the first start. It moves the others only when half of the array
// is unused.
func (q *startQueue) pop() {
	q.items[q.head] = pending{}
	q.head++
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
}

// filter keeps the starts for which keep is true, in order.
func (q *startQueue) filter(keep func(*pending) bool) {
	kept := q.items[:0]
	for i := q.head; i < len(q.items); i++ {
		if keep(&q.items[i]) {
			kept = append(kept, q.items[i])
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	q.head = 0
}

// refuseWaiting refuses the waiting starts that no longer pass the checks, so that
// their owners are told before a slot is free.
func (g *Guard) refuseWaiting(now time.Time) {
	if g.waiting.len() == 0 {
		return
	}
	g.waiting.filter(func(p *pending) bool {
		refusal := g.check(now, p)
		if refusal != "" {
			g.refuse(p, refusal)
			g.releaseCredit(p)
		}
		return refusal == ""
	})
}

// partitionSet is a set of partitions.
type partitionSet [identifier.Partitions / 64]uint64

func (s *partitionSet) add(p identifier.Partition) { s[p/64] |= 1 << (p % 64) }

func (s *partitionSet) has(p identifier.Partition) bool { return s[p/64]&(1<<(p%64)) != 0 }

func (s *partitionSet) empty() bool { return *s == partitionSet{} }
