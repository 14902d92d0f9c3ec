package experimenter

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// RunIdeal runs a workload through a single queue over all slots. The scheduler knows the
// actual run times, the current state of every slot, which upstreams are failing or slow,
// and when agents crash. It does not use failing or slow upstreams. It serves the job with
// the least remaining work first. Messages take the mean delay of the links.
func RunIdeal(sc *Scenario, w *Workload) *Result {
	s := &ideal{scenario: sc, workload: w, clock: &clock{}, result: &Result{Jobs: make([]JobResult, len(w.Jobs))}}
	s.remaining = make([]int, len(w.Jobs))
	s.runningTasks = make([]int, len(w.Jobs))
	for n := range sc.Agents {
		if sc.fault(FaultFailing, n) != nil {
			continue
		}
		if sc.fault(FaultSlow, n) == nil {
			s.freeSlots += sc.Slots
		}
		if f := sc.fault(FaultAgentsCrash, n); f != nil {
			s.clock.at(f.At, func() { s.freeSlots -= sc.Slots })
		}
	}
	for i := range w.Jobs {
		s.result.Jobs[i].Outcome = JobOpen
		s.remaining[i] = len(w.Jobs[i].Tasks)
		s.clock.at(w.Jobs[i].At, func() { s.arrive(i) })
		if at := w.Jobs[i].CancelAt; at > 0 {
			s.clock.at(at, func() { s.cancel(i) })
		}
	}
	s.clock.run(sc.Duration + settleTime)
	s.result.Messages = 2 * s.result.Starts
	s.result.UsefulMessages = s.result.Messages
	return s.result
}

// settleTime is how long an experiment continues after the last arrival.
const settleTime = 60 * time.Second

const meanDelay = (sameCentreDelay+2*otherCentreDelay)/3 + jitter/2

type ideal struct {
	scenario     *Scenario
	workload     *Workload
	clock        *clock
	result       *Result
	remaining    []int // remaining counts the tasks of each job that have not ended.
	runningTasks []int // runningTasks counts the running tasks of each job.
	queue        idealHeap
	freeSlots    int
}

type idealJob struct {
	job           int
	next          int
	order         []int         // order holds the indexes of the tasks, the longest task first.
	remainingWork time.Duration // remainingWork is the total run time of the tasks that have not started.
}

func (s *ideal) arrive(i int) {
	j := &s.workload.Jobs[i]
	q := &idealJob{job: i, remainingWork: j.work(), order: make([]int, len(j.Tasks))}
	for n := range q.order {
		q.order[n] = n
	}
	slices.SortStableFunc(q.order, func(a, b int) int { return cmp.Compare(j.Tasks[b].RunTime, j.Tasks[a].RunTime) })
	heap.Push(&s.queue, q)
	s.dispatch()
}

func (s *ideal) cancel(i int) {
	if s.result.Jobs[i].Outcome == JobOpen {
		s.result.Jobs[i].Outcome = JobCancelled
		s.freeSlots += s.runningTasks[i]
		s.dispatch()
	}
}

func (s *ideal) dispatch() {
	for len(s.queue) > 0 && s.freeSlots > 0 {
		q := s.queue[0]
		if s.result.Jobs[q.job].Outcome != JobOpen {
			heap.Pop(&s.queue)
			continue
		}
		s.start(q)
		if q.next == len(s.workload.Jobs[q.job].Tasks) {
			heap.Pop(&s.queue)
		}
	}
}

func (s *ideal) start(q *idealJob) {
	t := &s.workload.Jobs[q.job].Tasks[q.order[q.next]]
	q.next++
	q.remainingWork -= t.RunTime
	s.freeSlots--
	s.result.Starts++
	s.runningTasks[q.job]++
	s.clock.after(t.RunTime, func() {
		if s.result.Jobs[q.job].Outcome == JobCancelled {
			return
		}
		s.runningTasks[q.job]--
		s.freeSlots++
		s.end(q.job)
		s.dispatch()
	})
}

func (s *ideal) end(i int) {
	s.remaining[i]--
	if s.remaining[i] == 0 && s.result.Jobs[i].Outcome == JobOpen {
		s.result.Jobs[i] = JobResult{
			Outcome:  JobComplete,
			Response: s.clock.now - s.workload.Jobs[i].At + 2*meanDelay,
		}
	}
}

type idealHeap []*idealJob

func (h idealHeap) Len() int { return len(h) }
func (h idealHeap) Less(i, j int) bool {
	if h[i].remainingWork != h[j].remainingWork {
		return h[i].remainingWork < h[j].remainingWork
	}
	return h[i].job < h[j].job
}
func (h idealHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *idealHeap) Push(x any) { *h = append(*h, x.(*idealJob)) }

// Pop implements heap.Interface.
func (h *idealHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
