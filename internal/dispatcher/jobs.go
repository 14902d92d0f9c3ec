package dispatcher

import (
	"encoding/json"
	"net/http"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// serveJob answers with the state of a job of the caller's team.
func (e *Entry) serveJob(w http.ResponseWriter, r *http.Request) {
	e.serveJobCall(w, r, administrator.CallJob)
}

// serveCancelJob cancels a job of the caller's team and answers with its state.
func (e *Entry) serveCancelJob(w http.ResponseWriter, r *http.Request) {
	e.serveJobCall(w, r, administrator.CallCancelJob)
}

// serveJobCall sends the call to the owner of the job. The answer is the same for a job
// of another team and for one that does not exist, so that ids cannot be probed.
func (e *Entry) serveJobCall(w http.ResponseWriter, r *http.Request, call administrator.Call) {
	team, problem := e.team(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	id, err := identifier.Parse(r.PathValue("submission"))
	if err != nil {
		writeProblem(w, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the submission id is not valid",
			Detail: err.Error(),
		})
		return
	}
	state, problem := e.jobCall(r, call, administrator.JobQuery{Submission: id, Team: team})
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJSON(w, state)
}

// jobCall asks the owner of a job for its state, or to cancel it.
func (e *Entry) jobCall(r *http.Request, call administrator.Call, q administrator.JobQuery) (*submitter.JobState, *submitter.Problem) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the request cannot be passed on"}
	}
	part := e.ask(r.Context(), e.ownerOf(q.Submission), call, body)
	var reply administrator.JobReply
	if part.Detail != "" || json.Unmarshal(part.Body, &reply) != nil {
		return nil, &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the owner of the submission cannot be reached",
			Detail: "whether there is such a job is not known at the moment",
		}
	}
	if reply.Undecided {
		return nil, administrator.UndecidedJob()
	}
	if !reply.Found {
		return nil, &submitter.Problem{
			Status: http.StatusNotFound,
			Title:  "no such job",
			Detail: "no job of this id is kept for the team",
		}
	}
	return reply.State, nil
}

// answerOf converts an owner's answer to the type that callers receive.
func answerOf(a *messenger.Answer) *submitter.Answer {
	out := &submitter.Answer{
		SubmissionID: a.Submission.String(),
		Outcome:      submitter.Outcome(a.Outcome),
		Reason:       submitter.Reason(a.Reason),
		Detail:       a.Detail,
		RetryAfter:   submitter.Duration(a.RetryAfter),
	}
	for _, r := range a.Results {
		out.Results = append(out.Results, json.RawMessage(r))
	}
	return out
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
