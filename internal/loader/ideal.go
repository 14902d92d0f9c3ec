package loader

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// idealTimes returns the response time of each job on one queue over all slots
// with no delay anywhere, where every run time is known: a free slot takes the
// longest waiting task of the job with the least work left to start. The jobs are
// in the order of their arrival.
func idealTimes(jobs []planned, slots int) []time.Duration {
	out := make([]time.Duration, len(jobs))
	q := &idealQueue{}
	free := make(timeHeap, slots)
	next := 0
	now := time.Duration(0)
	for next < len(jobs) || q.Len() > 0 {
		now = max(now, free[0])
		if q.Len() == 0 {
			now = max(now, jobs[next].at)
		}
		for next < len(jobs) && jobs[next].at <= now {
			q.arrive(next, &jobs[next])
			next++
		}
		job, took := q.take()
		free[0] = now + took
		heap.Fix(&free, 0)
		out[job] = max(out[job], now+took-jobs[job].at)
	}
	return out
}

// idealJob is a job with tasks to start.
type idealJob struct {
	index   int
	left    time.Duration   // left is the sum of waiting.
	waiting []time.Duration // waiting is sorted, the longest last.
}

// idealQueue is a heap of jobs by the work left to start.
type idealQueue struct{ jobs []*idealJob }

func (q *idealQueue) arrive(index int, p *planned) {
	j := &idealJob{index: index, waiting: slices.Sorted(slices.Values(p.runTimes))}
	for _, took := range j.waiting {
		j.left += took
	}
	heap.Push(q, j)
}

func (q *idealQueue) take() (index int, took time.Duration) {
	j := q.jobs[0]
	last := len(j.waiting) - 1
	took = j.waiting[last]
	j.waiting = j.waiting[:last]
	j.left -= took
	if last == 0 {
		heap.Pop(q)
	} else {
		heap.Fix(q, 0)
	}
	return j.index, took
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *idealQueue) Len() int { return len(q.jobs) }

// Less orders by the work left, then by arrival.
func (q *idealQueue) Less(a, b int) bool {
	return cmp.Or(
		cmp.Compare(q.jobs[a].left, q.jobs[b].left),
		cmp.Compare(q.jobs[a].index, q.jobs[b].index),
	) < 0
}

// Swap implements heap.Interface.
func (q *idealQueue) Swap(a, b int) { q.jobs[a], q.jobs[b] = q.jobs[b], q.jobs[a] }

// Push implements heap.Interface.
func (q *idealQueue) Push(x any) { q.jobs = append(q.jobs, x.(*idealJob)) }

// Pop implements heap.Interface.
func (q *idealQueue) Pop() any {
	last := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	return last
}

// timeHeap is a heap of the times at which slots become free.
type timeHeap []time.Duration

// Len implements heap.Interface.
func (h timeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timeHeap) Less(a, b int) bool { return h[a] < h[b] }

// Swap implements heap.Interface.
func (h timeHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
