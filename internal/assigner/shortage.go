package assigner

import "time"

// Shortage is what an entry knows of capacity and demand when it rejects a job. It tells rejections for lack of
// capacity from those by other limits.
type Shortage struct {
	// FreeUpstreams is the number of upstreams that have free capacity for a waiting task of the job, as far as
	// the entry knows, and on which it may be launched.
	FreeUpstreams int
	PendingTasks  int // PendingTasks counts the tasks that wait at the entry, without those of the job.
}

// shortage returns the shortage at the rejection of a job.
func (a *Assigner) shortage(now time.Duration, j *job) (s Shortage) {
	var waiting *task
	for _, t := range a.pending {
		switch {
		case t.job != j:
			s.PendingTasks++
		case waiting == nil:
			waiting = t
		}
	}
	if waiting == nil {
		return s
	}
	for _, g := range a.order {
		if g.wait(waiting.step.Resources, a.meanRun) == 0 && a.eligible(now, waiting, g) {
			s.FreeUpstreams++
		}
	}
	return s
}
