package dispatcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/receiver"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// partitionSet is the set of partitions that this entry owns.
type partitionSet [identifier.Partitions]bool

func (e *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/jobs", e.serveSubmit)
	mux.HandleFunc("GET /v1/jobs/{submission}", e.serveJob)
	mux.HandleFunc("DELETE /v1/jobs/{submission}", e.serveCancelJob)
	return e.closeConnectionsWhileStopping(mux)
}

// closeConnectionsWhileStopping closes each connection after its answer while the
// entry shuts down. The caller's next request then goes to another entry, and cannot
// be sent on a connection that the shutdown is closing.
func (e *Entry) closeConnectionsWhileStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// serveSubmit accepts a job, waits for its outcome and answers with it.
func (e *Entry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	request, problem := e.readJob(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	reply := make(chan *messenger.Answer, 1)
	var ticket uint64
	posted := e.loop.Post(func(now time.Time) {
		e.nextTicket++
		ticket = e.nextTicket
		e.tickets[ticket] = reply
		e.coordinator.Request(now, ticket, *request)
	})
	if !posted {
		writeProblem(w, &submitter.Problem{Status: http.StatusServiceUnavailable, Title: "the entry is shutting down"})
		return
	}
	select {
	case answer := <-reply:
		e.recordAnswer(request.Job.Service, answer, time.Since(start))
		writeAnswer(w, answer)
	case <-r.Context().Done():
		e.loop.Post(func(now time.Time) {
			delete(e.tickets, ticket)
			e.coordinator.Abandon(now, ticket)
		})
		// A caller that has closed only its sending side can still read. If nothing
		// were written, it would receive an empty response with status 200.
		writeAnswer(w, &messenger.Answer{
			Submission: request.Job.Submission,
			Outcome:    string(submitter.OutcomeUnknown),
			Reason:     string(submitter.ReasonConnectionLost),
			Detail:     "the caller closed its side of the connection before the answer was known",
		})
	case <-e.background.Done():
		e.abortIfKilled()
		writeAnswer(w, &messenger.Answer{
			Submission: request.Job.Submission,
			Outcome:    string(submitter.OutcomeUnknown),
			Reason:     string(submitter.ReasonDraining),
			Detail:     "the entry shut down before the answer was known",
		})
	}
}

// readJob reads and validates a submission.
func (e *Entry) readJob(w http.ResponseWriter, r *http.Request) (*coordinator.Request, *submitter.Problem) {
	config := e.config.Read()
	if config == nil {
		return nil, noConfiguration()
	}
	team, problem := e.team(r)
	if problem != nil {
		return nil, problem
	}
	service, ok := config.Service(r.PathValue("service"))
	if !ok {
		return nil, &submitter.Problem{
			Status: http.StatusNotFound,
			Title:  "unknown service",
			Detail: "no service has the name " + strconv.Quote(r.PathValue("service")),
		}
	}
	body, problem := decodeJob(w, r, &config.Limits)
	if problem != nil {
		return nil, problem
	}
	id, fresh, problem := e.submissionID(r, body.RequestKey)
	if problem != nil {
		return nil, problem
	}
	return &coordinator.Request{
		Kind:  coordinator.RequestSubmit,
		Job:   newJob(config, service, team, id, body),
		NewID: fresh,
	}, nil
}

func decodeJob(w http.ResponseWriter, r *http.Request, limits *configurer.Limits) (*submitter.Job, *submitter.Problem) {
	// Some connections, such as those of tests, support no deadlines; then none is set.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	var body jobBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, &submitter.Problem{
				Status: http.StatusRequestEntityTooLarge,
				Title:  "the body is too large",
				Detail: "the limit is " + strconv.FormatInt(limits.MaxBodyBytes, 10) + " bytes",
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, &submitter.Problem{
				Status: http.StatusRequestTimeout,
				Title:  "the body came too slowly",
				Detail: "the limit is " + limits.BodyTimeout.String(),
			}
		}
		return nil, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the body is not a job",
			Detail: "at byte " + strconv.FormatInt(dec.InputOffset(), 10) + ": " + err.Error(),
		}
	}
	if n := body.Tasks.count; n < 1 || n > submitter.MaxTasks {
		return nil, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "wrong number of tasks",
			Detail: "the job has " + strconv.Itoa(n) + " tasks; it must have 1 to " + strconv.Itoa(submitter.MaxTasks),
		}
	}
	// The read deadline applies to the body only: the answer may take longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	body.Job.Tasks = body.Tasks.tasks
	return &body.Job, nil
}

// jobBody is a job whose number of tasks is checked before they are decoded.
type jobBody struct {
	submitter.Job
	Tasks taskList `json:"tasks"`
}

// taskList is the list of the tasks of a job. If there are more than [submitter.MaxTasks], only their
// number is kept.
type taskList struct {
	count int
	tasks []submitter.Task
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(b []byte) error {
	*l = taskList{count: receiver.CountElements(b)}
	if l.count > submitter.MaxTasks {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	err := dec.Decode(&l.tasks)
	l.count = len(l.tasks)
	return err
}

// submissionID returns the id that the caller has sent, or generates one: in the
// partition of the request key if there is one, otherwise in a partition that this
// entry owns, or in any if it owns none. It reports whether it generated the id.
func (e *Entry) submissionID(r *http.Request, key string) (identifier.Submission, bool, *submitter.Problem) {
	if text := r.Header.Get(submitter.HeaderSubmissionID); text != "" {
		id, problem := parseSubmissionID(text, key)
		return id, false, problem
	}
	now := e.loop.Now()
	if key != "" {
		if id, ok := identifier.NewForKey(now, key); ok {
			return id, true, nil
		}
	}
	if owned := e.owned.Read(); owned != nil {
		if id, ok := identifier.NewIn(now, func(p identifier.Partition) bool { return owned[p] }); ok {
			return id, true, nil
		}
	}
	return identifier.New(now), true, nil
}

func parseSubmissionID(text, key string) (identifier.Submission, *submitter.Problem) {
	id, err := identifier.Parse(text)
	if err != nil {
		return id, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the submission id is not valid",
			Detail: err.Error(),
		}
	}
	if key != "" && id.Partition() != identifier.KeyPartition(key) {
		return id, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the submission id does not belong to the request key",
			Detail: "an id for a job with a request key must fall into the key's partition; leave the id out to have one made",
		}
	}
	return id, nil
}

func newJob(config *configurer.Config, service *configurer.Service, team string, id identifier.Submission, body *submitter.Job) owner.Job {
	timeout := service.Timeout
	if body.Deadline > 0 {
		timeout = min(time.Duration(body.Deadline), config.Limits.MaxDeadline)
	}
	job := owner.Job{
		Submission: id,
		Service:    service.Name,
		Team:       team,
		RequestKey: body.RequestKey,
		Deadline:   time.Now().Add(timeout),
		Tasks:      make([]messenger.TaskSpec, len(body.Tasks)),
	}
	for i, t := range body.Tasks {
		spec := messenger.TaskSpec{
			Payload:      t.Payload,
			RunTime:      time.Duration(t.RunTime),
			MemoryBytes:  t.MemoryBytes,
			Accelerators: t.Accelerators,
			Repeatable:   t.Repeatable,
		}
		if spec.RunTime == 0 {
			spec.RunTime = service.DefaultRunTime
		}
		if spec.MemoryBytes == 0 {
			spec.MemoryBytes = service.DefaultMemoryBytes
		}
		job.Tasks[i] = spec
	}
	return job
}
