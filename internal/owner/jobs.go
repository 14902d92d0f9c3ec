package owner

import (
	"iter"
	"slices"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// jobSet holds jobs by partition and id, so that one partition can be listed or
// handed over without iterating over the others.
type jobSet struct {
	count      int // count is the number of jobs in all partitions.
	partitions [identifier.Partitions]map[identifier.Submission]*job
}

// get returns the job of a submission, or nil.
func (s *jobSet) get(id identifier.Submission) *job {
	return s.partitions[id.Partition()][id]
}

// put adds a job whose submission is not in the set.
func (s *jobSet) put(j *job) {
	id := j.spec.Submission
	p := id.Partition()
	if s.partitions[p] == nil {
		s.partitions[p] = make(map[identifier.Submission]*job)
	}
	s.partitions[p][id] = j
	s.count++
}

// remove deletes a job from the set.
func (s *jobSet) remove(j *job) {
	id := j.spec.Submission
	p := id.Partition()
	if _, ok := s.partitions[p][id]; !ok {
		return
	}
	delete(s.partitions[p], id)
	if len(s.partitions[p]) == 0 {
		s.partitions[p] = nil
	}
	s.count--
}

// all yields every job, in no order.
func (s *jobSet) all() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, jobs := range s.partitions {
			for _, j := range jobs {
				if !yield(j) {
					return
				}
			}
		}
	}
}

// inPartition returns the jobs of a partition in the order of their ids.
func (s *jobSet) inPartition(p identifier.Partition) []*job {
	out := make([]*job, 0, len(s.partitions[p]))
	for _, j := range s.partitions[p] {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(x, y *job) int {
		return slices.Compare(x.spec.Submission[:], y.spec.Submission[:])
	})
}
