package loader

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// idealResponseTimes returns the response time of each job under an ideal scheduler:
// one queue for all slots, no delays, and every run time known. A free slot takes the
// longest waiting task of the job with the least work left to start. Jobs must be in
// order of arrival.
func idealResponseTimes(jobs []plannedJob, slots int) []time.Duration {
	out := make([]time.Duration, len(jobs))
	q := &idealQueue{}
	free := make(timeHeap, slots)
	next := 0
	now := time.Duration(0)
	for next < len(jobs) || q.Len() > 0 {
		now = max(now, free[0])
		if q.Len() == 0 {
			now = max(now, jobs[next].arrival)
		}
		for next < len(jobs) && jobs[next].arrival <= now {
			q.add(next, &jobs[next])
			next++
		}
		job, runTime := q.takeTask()
		free[0] = now + runTime
		heap.Fix(&free, 0)
		out[job] = max(out[job], now+runTime-jobs[job].arrival)
	}
	return out
}

// idealJob is a job with tasks that have not started.
type idealJob struct {
	index     int
	remaining time.Duration   // the sum of waiting
	waiting   []time.Duration // run times in ascending order
}

// idealQueue is a heap of jobs ordered by the work left to start.
type idealQueue struct{ jobs []*idealJob }

func (q *idealQueue) add(index int, p *plannedJob) {
	j := &idealJob{index: index, waiting: slices.Sorted(slices.Values(p.runTimes))}
	for _, took := range j.waiting {
		j.remaining += took
	}
	heap.Push(q, j)
}

func (q *idealQueue) takeTask() (index int, runTime time.Duration) {
	j := q.jobs[0]
	last := len(j.waiting) - 1
	runTime = j.waiting[last]
	j.waiting = j.waiting[:last]
	j.remaining -= runTime
	if last == 0 {
		heap.Pop(q)
	} else {
		heap.Fix(q, 0)
	}
	return j.index, runTime
}

// Len implements heap.Interface.
func (q *idealQueue) Len() int { return len(q.jobs) }

// Less implements heap.Interface: it orders by remaining work, then by arrival.
func (q *idealQueue) Less(a, b int) bool {
	return cmp.Or(
		cmp.Compare(q.jobs[a].remaining, q.jobs[b].remaining),
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

// timeHeap is a min-heap of the times at which the slots become free.
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
