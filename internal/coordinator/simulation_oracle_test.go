package coordinator_test

import (
	"bytes"
	"fmt"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// maxAnswerDelay is how long after its deadline a request may be answered, on the clock of
// an active entry.
const maxAnswerDelay = 100 * time.Millisecond

// submission is a submission id with what its callers submit under it.
type submission struct {
	id          identifier.Submission
	name        string
	key         string
	payloads    [][]byte // One per task.
	timeout     time.Duration
	idFromEntry bool // An entry generated the id, and the caller does not know it.
}

// request is one request for a submission.
type request struct {
	submission *submission
	kind       coordinator.RequestKind
	entry      *process
	deadline   time.Time // On the entry's clock.
	answer     string
	reason     string
	abandoned  bool // The caller has disconnected.
}

// oracle records which tasks started and which answers were given, and detects
// violations of the rules.
type oracle struct {
	submissions []*submission
	names       map[identifier.Submission]string
	keys        map[identifier.Submission]string
	requests    []*request // Indexed by ticket.
	starts      map[guard.TaskRef]int
	ran         map[identifier.Submission]bool
	notRun      map[identifier.Submission]bool
	keyRan      map[string]identifier.Submission
	outcomes    map[string]int
	violation   string // The first violation of a rule; empty if there is none.
}

func (o *oracle) init() {
	o.names = make(map[identifier.Submission]string)
	o.keys = make(map[identifier.Submission]string)
	o.starts = make(map[guard.TaskRef]int)
	o.ran = make(map[identifier.Submission]bool)
	o.notRun = make(map[identifier.Submission]bool)
	o.keyRan = make(map[string]identifier.Submission)
	o.outcomes = make(map[string]int)
}

func (o *oracle) name(s identifier.Submission) string { return o.names[s] }

func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) addSubmission(s *submission) {
	s.name = fmt.Sprintf("job%d", len(o.submissions))
	o.submissions = append(o.submissions, s)
	o.names[s.id] = s.name
	o.keys[s.id] = s.key
}

// addRequest returns the ticket of a new request.
func (o *oracle) addRequest(r *request) uint64 {
	o.requests = append(o.requests, r)
	return uint64(len(o.requests) - 1)
}

// started checks rules 1, 3 and 4 when a task starts.
func (o *oracle) started(ref guard.TaskRef) {
	o.starts[ref]++
	o.ran[ref.Submission] = true
	name := o.name(ref.Submission)
	if o.starts[ref] > 1 {
		o.fail("rule 1: task %s/%d started twice", name, ref.Index)
	}
	if o.notRun[ref.Submission] {
		o.fail("rule 3: task %s/%d started after not-run was answered", name, ref.Index)
	}
	key := o.keys[ref.Submission]
	if key == "" {
		return
	}
	if other, ok := o.keyRan[key]; ok && other != ref.Submission {
		o.fail("rule 4: %s and %s ran with the same request key", o.name(other), name)
	}
	o.keyRan[key] = ref.Submission
}

// answered checks rules 2 and 3 when a request is answered.
func (o *oracle) answered(p *process, a coordinator.TicketAnswer) {
	if a.Ticket >= uint64(len(o.requests)) {
		o.fail("rule 2: an answer has the unknown ticket %d", a.Ticket)
		return
	}
	r := o.requests[a.Ticket]
	s := r.submission
	if r.entry != p || a.Answer.Submission != s.id {
		o.fail("rule 2: ticket %d of %s got the answer of %s", a.Ticket, s.name, o.name(a.Answer.Submission))
	}
	if r.answer != "" {
		o.fail("rule 2: ticket %d of %s was answered twice", a.Ticket, s.name)
	}
	r.answer, r.reason = a.Answer.Outcome, a.Answer.Reason
	o.outcomes[a.Answer.Outcome+" "+a.Answer.Reason]++
	switch submitter.Outcome(a.Answer.Outcome) {
	case submitter.OutcomeComplete:
		o.checkComplete(r, a)
	case submitter.OutcomeNotRun:
		o.notRun[s.id] = true
		if o.ran[s.id] {
			o.fail("rule 3: %s was answered not-run (%s) and had started", s.name, a.Answer.Reason)
		}
	case submitter.OutcomeFailed, submitter.OutcomeUnknown:
		if len(a.Answer.Results) > 0 {
			o.fail("rule 2: %s was answered %s with results", s.name, a.Answer.Outcome)
		}
	default:
		o.fail("rule 2: %s was answered %q", s.name, a.Answer.Outcome)
	}
}

// otherBody is the payload of the first task of the different body that callers rarely
// submit under the id of another one.
var otherBody = []byte("other body")

// checkComplete checks that an answer has the result of every task of the request's own
// body. A request without a body asks for the job that runs under the id, which may
// have the other body.
func (o *oracle) checkComplete(r *request, a coordinator.TicketAnswer) {
	s := r.submission
	if len(a.Answer.Results) != len(s.payloads) {
		o.fail("rule 2: %s has %d tasks and %d results", s.name, len(s.payloads), len(a.Answer.Results))
		return
	}
	for i, result := range a.Answer.Results {
		other := i == 0 && r.kind != coordinator.RequestSubmit && bytes.Equal(result, resultOf(otherBody))
		if !other && !bytes.Equal(result, resultOf(s.payloads[i])) {
			o.fail("rule 2: %s got the result %q for task %d", s.name, result, i)
		}
	}
}

// checkDeadlines checks, after a tick of an entry, that none of its requests is
// unanswered past its deadline.
func (o *oracle) checkDeadlines(sim *simulation, p *process) {
	for ticket, r := range o.requests {
		if r.entry == p && r.unanswered() && p.now(sim).After(r.deadline.Add(maxAnswerDelay)) {
			o.fail("rule 2: ticket %d of %s has no answer %s after its deadline", ticket, r.submission.name, p.now(sim).Sub(r.deadline))
		}
	}
}

// checkEnd checks that every request at a running entry was answered.
func (o *oracle) checkEnd() {
	for ticket, r := range o.requests {
		if r.entry.alive && r.unanswered() {
			o.fail("rule 5: ticket %d of %s was never answered", ticket, r.submission.name)
		}
	}
}

// allAnswered reports whether every request at a running entry was answered.
func (o *oracle) allAnswered() bool {
	for _, r := range o.requests {
		if r.entry.alive && r.unanswered() {
			return false
		}
	}
	return true
}

// checkShutdown checks that an entry that shuts down has answered all its requests.
func (o *oracle) checkShutdown(p *process) {
	for ticket, r := range o.requests {
		if r.entry == p && r.unanswered() {
			o.fail("rule 5: %s shut down while ticket %d of %s had no answer", p.peer, ticket, r.submission.name)
		}
	}
}

// unanswered reports whether the request must still be answered.
func (r *request) unanswered() bool { return r.answer == "" && !r.abandoned }
