package assigner

import (
	"cmp"
	"time"
)

// The memory of a job, a step, a task and the number of an earlier step, in bytes.
const (
	jobBytes   = 1024
	stepBytes  = 128
	taskBytes  = 256
	indexBytes = 8
)

// size returns the memory that a job takes, in bytes.
func (j *Job) size() int64 {
	n := jobBytes + len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + s.Count*taskBytes + len(s.After)*indexBytes + len(s.Label) + len(s.Rack)
	}
	return int64(n)
}

// rejectExcess rejects jobs that have run nothing, the least urgent ones first, while the jobs without
// an answer take too much memory.
func (a *Assigner) rejectExcess(now time.Duration) {
	for a.limits.MaxHeldBytes > 0 && a.held > a.limits.MaxHeldBytes {
		j := a.leastUrgent()
		if j == nil {
			return
		}
		a.rejectWaiting(now, j, "overload")
	}
}

// leastUrgent returns the job that has run nothing and would be scheduled last, or nil if there is none.
func (a *Assigner) leastUrgent() (last *job) {
	for _, j := range a.jobs {
		j = j.unanswered()
		if j != nil && j.running == 0 && !j.ran && (last == nil || j.compareUrgency(last) > 0) {
			last = j
		}
	}
	return last
}

// latestStart returns the latest start with which the job meets its objective.
func (j *job) latestStart() time.Duration { return j.objective - j.expected }

// compareUrgency returns a negative number if the job is scheduled before another one.
func (j *job) compareUrgency(o *job) int {
	return cmp.Or(cmp.Compare(j.Priority, o.Priority), cmp.Compare(j.latestStart(), o.latestStart()), cmp.Compare(j.Ticket, o.Ticket))
}
