package owner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Status is the state of one job as reported to operators.
type Status struct {
	Submission identifier.Submission
	// Service and Team are empty for a job that is known from records only.
	Service, Team string
	State         submitter.State
	// Tasks is the number of tasks of a job that has no answer. Waiting, Sent and
	// Done count the tasks that wait to be scheduled, are at an agent, and are done.
	Tasks, Waiting, Sent, Done int
	// Answer is set if and only if State is answered.
	Answer *messenger.Answer
}

// Usage counts the jobs and tasks of one service and team.
type Usage struct {
	Service, Team          string
	OpenJobs, AnsweredJobs int
	// WaitingTasks wait to be scheduled; SentTasks are at an agent.
	WaitingTasks, SentTasks int
}

// Status returns the status of a retained job.
func (o *Owner) Status(s identifier.Submission) (Status, bool) {
	j := o.jobs.get(s)
	if j == nil {
		return Status{}, false
	}
	out := Status{
		Submission: s,
		Service:    j.spec.Service,
		Team:       j.spec.Team,
		State:      submitter.State(j.phase),
		Tasks:      len(j.tasks),
		Waiting:    j.countInState(taskWaiting),
		Sent:       j.countInState(taskSent),
		Done:       j.countInState(taskDone),
	}
	if j.phase == phaseAnswered {
		out.Answer = j.answer
	}
	return out, true
}

// Usage returns the usage of each service and team that has jobs, sorted by
// service and then by team.
func (o *Owner) Usage() []Usage {
	index := make(map[[2]string]int)
	var out []Usage
	for j := range o.jobs.all() {
		key := [2]string{j.spec.Service, j.spec.Team}
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, Usage{Service: key[0], Team: key[1]})
		}
		if j.phase != phaseOpen {
			out[i].AnsweredJobs++
			continue
		}
		out[i].OpenJobs++
		out[i].WaitingTasks += j.countInState(taskWaiting)
		out[i].SentTasks += j.countInState(taskSent)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return out
}

// OpenJobs returns the open jobs of a service and a team in the order of their ids.
// An empty name matches every service or team.
func (o *Owner) OpenJobs(service, team string) []identifier.Submission {
	var jobs []*job
	for j := range o.jobs.all() {
		if j.phase == phaseOpen && (service == "" || service == j.spec.Service) && (team == "" || team == j.spec.Team) {
			jobs = append(jobs, j)
		}
	}
	sortJobs(jobs)
	var out []identifier.Submission
	for _, j := range jobs {
		out = append(out, j.spec.Submission)
	}
	return out
}

// CancelAny cancels a job that has no answer yet, whatever team it belongs to.
func (o *Owner) CancelAny(now time.Time, s identifier.Submission) {
	if j := o.jobs.get(s); j != nil {
		o.Cancel(now, s, j.spec.Team)
	}
}

// FirstSend records that tasks of a job are sent. It returns how long the job waited
// for its first send, and false if tasks of it were sent before.
func (o *Owner) FirstSend(now time.Time, s identifier.Submission) (time.Duration, bool) {
	j := o.jobs.get(s)
	if j == nil || j.anySent {
		return 0, false
	}
	j.anySent = true
	return now.Sub(j.openedAt), true
}

func (j *job) countInState(s taskState) int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state == s {
			n++
		}
	}
	return n
}
