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

// Check is one thing that must hold in every run.
type Check struct {
	Name string `json:"name"`
	// Violations counts what was seen against it.
	Violations int `json:"violations"`
	// Example is one violation.
	Example string `json:"example,omitempty"`
	// Skipped says why it could not be checked; empty if it was.
	Skipped string `json:"skipped,omitempty"`
}

func (c *Check) violate(format string, args ...any) {
	c.Violations++
	if c.Example == "" {
		c.Example = fmt.Sprintf(format, args...)
	}
}

// entriesFrom returns the entries in the order in which a client tries them.
func (r *runner) entriesFrom(first int, duplicate bool) []netip.AddrPort {
	n := len(r.target.Entries)
	first %= n
	if duplicate {
		first = (first + 1) % n
	}
	return slices.Concat(r.target.Entries[first:], r.target.Entries[:first])
}

// classify sorts an error of the client.
func (q *request) classify(err error, a submitter.Answer) {
	var e *submitter.Error
	switch {
	case errors.As(err, &e) && e.Problem != nil:
		q.rejected = fmt.Sprintf("rejected %d: %s", e.Problem.Status, e.Problem.Title)
	case err != nil, a.Reason == submitter.ReasonConnectionLost:
		q.lost = true
	}
}

// checkAnswers holds every request against what must be true of its answer.
func (r *runner) checkAnswers() []Check {
	once := Check{Name: "every request got exactly one answer"}
	own := Check{Name: "every answer is for its own submission"}
	whole := Check{Name: "complete answers have every task's result in order"}
	same := Check{Name: "answers to one submission do not contradict each other"}
	outcomes := make(map[string]submitter.Outcome)
	if missing := int(r.sent.Load()) - len(r.requests); missing != 0 {
		once.violate("%d requests have no answer", missing)
	}
	for i := range r.requests {
		q := &r.requests[i]
		if q.lost || q.rejected != "" {
			if q.lost {
				once.violate("submission %s: no entry answered", q.submission)
			}
			continue
		}
		if q.answer.SubmissionID != q.submission {
			own.violate("submission %s got the answer of %s", q.submission, q.answer.SubmissionID)
		}
		if q.answer.Outcome == submitter.OutcomeComplete {
			r.checkWhole(&whole, q)
		}
		checkSame(&same, outcomes, q)
	}
	return []Check{once, own, whole, same}
}

// checkWhole compares results with payloads: the stand-in returns what it got.
func (r *runner) checkWhole(c *Check, q *request) {
	p := &r.jobs[q.job]
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

// checkSame compares with earlier answers. An unknown claims nothing.
func checkSame(c *Check, outcomes map[string]submitter.Outcome, q *request) {
	if q.answer.Outcome == submitter.OutcomeUnknown {
		return
	}
	before, known := outcomes[q.submission]
	outcomes[q.submission] = q.answer.Outcome
	// A refused job may be submitted again and then run.
	if known && before != q.answer.Outcome && before != submitter.OutcomeNotRun && q.answer.Outcome != submitter.OutcomeNotRun {
		c.violate("submission %s is %s and %s", q.submission, before, q.answer.Outcome)
	}
}

// checkStarts holds the start records against the answers.
func (r *runner) checkStarts() ([]Check, int, error) {
	twice := Check{Name: "no task started twice"}
	notRun := Check{Name: "no task of a job that is not-run started"}
	ran := Check{Name: "every task of a complete job started"}
	checks := func() []Check { return []Check{twice, notRun, ran} }
	if r.target.Starts == nil {
		const why = "the target gives no start records"
		twice.Skipped, notRun.Skipped, ran.Skipped = why, why, why
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
			twice.violate("submission %s task %d started %d times", ref.Submission, ref.Task, n)
		}
	}
	submissions := r.bySubmission()
	for _, submission := range slices.Sorted(maps.Keys(submissions)) {
		seen := submissions[submission]
		tasks := len(r.jobs[seen.job].runTimes)
		started := 0
		for task := range tasks {
			if starts[TaskRef{submission, task}] > 0 {
				started++
			}
		}
		if seen.onlyNotRun && started > 0 {
			notRun.violate("submission %s: %d tasks started", submission, started)
		}
		if seen.complete && started != tasks {
			ran.violate("submission %s: %d of %d tasks started", submission, started, tasks)
		}
	}
	return checks(), total, nil
}

func compareRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Submission, b.Submission), cmp.Compare(a.Task, b.Task))
}

// seen is what all requests of one submission were told.
type seen struct {
	job        int
	complete   bool // complete means that some answer was complete.
	onlyNotRun bool // onlyNotRun means that every request was answered not-run.
}

func (r *runner) bySubmission() map[string]seen {
	out := make(map[string]seen)
	for i := range r.requests {
		q := &r.requests[i]
		s, known := out[q.submission]
		notRun := !q.lost && q.rejected == "" && q.answer.Outcome == submitter.OutcomeNotRun
		s.job = q.job
		s.onlyNotRun = notRun && (s.onlyNotRun || !known)
		s.complete = s.complete || q.answer.Outcome == submitter.OutcomeComplete
		out[q.submission] = s
	}
	return out
}
