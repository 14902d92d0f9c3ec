package loader

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Check is an invariant that must hold in every run, and the violations found.
type Check struct {
	Name       string `json:"name"`
	Violations int    `json:"violations"`
	// Example describes the first violation.
	Example string `json:"example,omitempty"`
	// Skipped is the reason why the check was not made; empty if it was made.
	Skipped string `json:"skipped,omitempty"`
}

func (c *Check) violate(format string, args ...any) {
	c.Violations++
	if c.Example == "" {
		c.Example = fmt.Sprintf(format, args...)
	}
}

// entriesFrom returns the entries in the order in which a client tries them,
// starting with the given one, or with the one after it for a duplicate.
func (r *runner) entriesFrom(first int, duplicate bool) []netip.AddrPort {
	n := len(r.target.Entries)
	first %= n
	if duplicate {
		first = (first + 1) % n
	}
	return slices.Concat(r.target.Entries[first:], r.target.Entries[:first])
}

// classify records whether the client's error, or its answer, means that the
// request was rejected or remained unanswered.
func (q *request) classify(err error, a submitter.Answer) {
	var e *submitter.Error
	switch {
	case errors.As(err, &e) && e.Problem != nil:
		q.rejected = fmt.Sprintf("rejected %d: %s", e.Problem.Status, e.Problem.Title)
	case err != nil, a.Reason == submitter.ReasonConnectionLost:
		q.unanswered = true
	}
}

// checkAnswers checks the invariants on the answer of every request.
func (r *runner) checkAnswers() []Check {
	oneAnswer := Check{Name: "every request got exactly one answer"}
	ownSubmission := Check{Name: "every answer is for its own submission"}
	completeResults := Check{Name: "complete answers have every task's result in order"}
	consistent := Check{Name: "answers to one submission do not contradict each other"}
	outcomes := make(map[string]submitter.Outcome)
	if missing := int(r.sent.Load()) - len(r.requests); missing != 0 {
		oneAnswer.violate("%d requests have no answer", missing)
	}
	for i := range r.requests {
		q := &r.requests[i]
		if q.unanswered || q.rejected != "" {
			if q.unanswered {
				oneAnswer.violate("submission %s: no entry answered", q.submission)
			}
			continue
		}
		if q.answer.SubmissionID != q.submission {
			ownSubmission.violate("submission %s got the answer of %s", q.submission, q.answer.SubmissionID)
		}
		if q.answer.Outcome == submitter.OutcomeComplete {
			r.checkResults(&completeResults, q)
		}
		checkConsistent(&consistent, outcomes, q)
	}
	return []Check{oneAnswer, ownSubmission, completeResults, consistent}
}

// checkResults compares results with payloads: the emulated upstream returns the
// payload of each task as its result.
func (r *runner) checkResults(c *Check, q *request) {
	p := &r.jobs[q.jobIndex]
	if len(q.answer.Results) != len(p.runTimes) {
		c.violate("submission %s has %d results for %d tasks", q.submission, len(q.answer.Results), len(p.runTimes))
		return
	}
	for i, took := range p.runTimes {
		if want := `{"run-time":"` + took.String() + `"}`; string(q.answer.Results[i]) != want {
			c.violate("submission %s task %d: got %s, want %s", q.submission, i, q.answer.Results[i], want)
			return
		}
	}
}

// checkConsistent compares an answer with earlier ones to the same submission. The
// outcome unknown is consistent with every other.
func checkConsistent(c *Check, outcomes map[string]submitter.Outcome, q *request) {
	if q.answer.Outcome == submitter.OutcomeUnknown {
		return
	}
	before, known := outcomes[q.submission]
	outcomes[q.submission] = q.answer.Outcome
	// A job that was not run may be submitted again and then run.
	if known && before != q.answer.Outcome && before != submitter.OutcomeNotRun && q.answer.Outcome != submitter.OutcomeNotRun {
		c.violate("submission %s is %s and %s", q.submission, before, q.answer.Outcome)
	}
}

// checkStarts compares the start records with the answers, and returns the total
// number of starts.
func (r *runner) checkStarts() ([]Check, int, error) {
	startedOnce := Check{Name: "no task started twice"}
	notRunNotStarted := Check{Name: "no task of a job that is not-run started"}
	completeStarted := Check{Name: "every task of a complete job started"}
	checks := func() []Check { return []Check{startedOnce, notRunNotStarted, completeStarted} }
	if r.target.Starts == nil {
		const why = "the target gives no start records"
		startedOnce.Skipped, notRunNotStarted.Skipped, completeStarted.Skipped = why, why, why
		return checks(), 0, nil
	}
	starts := make(map[TaskRef]int)
	if err := r.target.Starts(starts); err != nil {
		return nil, 0, err
	}
	total := 0
	for _, ref := range slices.SortedFunc(maps.Keys(starts), compareRefs) {
		total += starts[ref]
		if n := starts[ref]; n > 1 {
			startedOnce.violate("submission %s task %d started %d times", ref.Submission, ref.Task, n)
		}
	}
	submissions := r.answersBySubmission()
	for _, submission := range slices.Sorted(maps.Keys(submissions)) {
		answers := submissions[submission]
		tasks := len(r.jobs[answers.jobIndex].runTimes)
		started := 0
		for task := range tasks {
			if starts[TaskRef{submission, task}] > 0 {
				started++
			}
		}
		if answers.allNotRun && started > 0 {
			notRunNotStarted.violate("submission %s: %d tasks started", submission, started)
		}
		if answers.anyComplete && started != tasks {
			completeStarted.violate("submission %s: %d of %d tasks started", submission, started, tasks)
		}
	}
	return checks(), total, nil
}

func compareRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Task, b.Task))
}

// submissionAnswers summarises the answers to all requests of one submission.
type submissionAnswers struct {
	jobIndex    int
	anyComplete bool
	allNotRun   bool
}

func (r *runner) answersBySubmission() map[string]submissionAnswers {
	out := make(map[string]submissionAnswers)
	for i := range r.requests {
		q := &r.requests[i]
		s, known := out[q.submission]
		notRun := !q.unanswered && q.rejected == "" && q.answer.Outcome == submitter.OutcomeNotRun
		s.jobIndex = q.jobIndex
		s.allNotRun = notRun && (s.allNotRun || !known)
		s.anyComplete = s.anyComplete || q.answer.Outcome == submitter.OutcomeComplete
		out[q.submission] = s
	}
	return out
}
