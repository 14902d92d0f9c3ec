package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Action is the kind of a change.
type Action string

// The actions.
const (
	ActionDrainUpstream      Action = "drain-upstream"
	ActionUndrainUpstream    Action = "undrain-upstream"
	ActionEjectUpstream      Action = "eject-upstream"
	ActionRestoreUpstream    Action = "restore-upstream"
	ActionDrainEntry         Action = "drain-entry"
	ActionUndrainEntry       Action = "undrain-entry"
	ActionEvacuateDataCentre Action = "evacuate-data-centre"
	ActionReturnDataCentre   Action = "return-data-centre"
	ActionCancelJob          Action = "cancel-job"
	ActionCancelService      Action = "cancel-service"
	ActionCancelTeam         Action = "cancel-team"
	ActionDeclareDead        Action = "declare-dead"
	ActionApplyConfig        Action = "apply-config"
	ActionRollbackConfig     Action = "rollback-config"
)

// Record is the audit record of a change in the object store.
type Record struct {
	ChangeID string    `json:"change-id"`
	Action   Action    `json:"action"`
	Target   string    `json:"target"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// ConfigVersion is the version of the configuration in force at that time.
	ConfigVersion uint64 `json:"config-version"`
	// Detail describes the effect of the change.
	Detail string `json:"detail,omitempty"`
}

// Changed is the answer to a change.
type Changed struct {
	Record
	// Repeated is set if the change had been made before, so that this request had no
	// effect.
	Repeated bool `json:"repeated,omitempty"`
	// Silent lists the entries that could not be notified. They learn of the change
	// when they next read the table.
	Silent []Silent `json:"silent,omitempty"`
}

// recordPrefix is the prefix of the object-store keys of records, and of the table
// rows that hold a record until it is in the object store. Such a row is written in
// the transaction of the change. If writing the object then fails, a repeated
// request finds the row and does not make the change again.
const recordPrefix = "audit/"

// change makes a change at most once per change id and stores its record. The apply
// function makes the change; it must be idempotent for a change id.
func (s *Service) change(r *http.Request, principal authenticator.Principal, action Action, target string,
	apply func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem),
) (any, *submitter.Problem) {
	ctx := r.Context()
	id, problem := changeID(r)
	if problem != nil {
		return nil, problem
	}
	record := Record{ChangeID: id, Action: action, Target: target, By: principal.Name}
	previous, problem := s.previousChange(ctx, &record)
	if problem != nil || previous != nil {
		return previous, problem
	}
	record.At = s.o.Now().UTC()
	_, record.ConfigVersion = s.o.Config()
	silent, problem := apply(ctx, &record)
	if problem != nil {
		return nil, problem
	}
	if problem := s.storeRecord(ctx, &record); problem != nil {
		return nil, problem
	}
	return &Changed{Record: record, Silent: silent}, nil
}

// changeID returns the change id of a request, or a new one if the request has none.
func changeID(r *http.Request) (string, *submitter.Problem) {
	id := r.Header.Get(HeaderChangeID)
	if id == "" {
		return versioner.NewChangeID(), nil
	}
	if err := uuid.Validate(id); err != nil {
		return "", &submitter.Problem{Status: http.StatusBadRequest, Title: "the change id is not a UUID"}
	}
	return id, nil
}

// previousChange returns the change if it was made before under the same id. If the
// record is only in the table, previousChange writes it to the object store.
func (s *Service) previousChange(ctx context.Context, want *Record) (any, *submitter.Problem) {
	text, stored, err := s.findRecord(ctx, want.ChangeID)
	if err != nil {
		return nil, &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the platform cannot be reached",
			Detail: "nothing was changed now: a change needs its record in the object store",
		}
	}
	if text == nil {
		return nil, nil
	}
	var record Record
	if problem := decodeRecord(text, &record); problem != nil {
		return nil, problem
	}
	if record.Action != want.Action || record.Target != want.Target {
		return nil, record.idConflict()
	}
	if !stored {
		if problem := s.storeRecord(ctx, &record); problem != nil {
			return nil, problem
		}
	}
	return &Changed{Record: record, Repeated: true}, nil
}

func decodeRecord(text []byte, into *Record) *submitter.Problem {
	if err := json.Unmarshal(text, into); err != nil {
		return &submitter.Problem{Status: http.StatusInternalServerError, Title: "the record of the change cannot be read"}
	}
	return nil
}

// idConflict is the problem of a request for another change under the id of r.
func (r *Record) idConflict() *submitter.Problem {
	return &submitter.Problem{
		Status: http.StatusConflict,
		Title:  "the change id was used for another change",
		Detail: "it was used to " + string(r.Action) + " " + r.Target,
	}
}

// findRecord returns the encoded record of a change, and whether it is in the object
// store rather than in the table. The record is nil if there is no such change.
func (s *Service) findRecord(ctx context.Context, id string) ([]byte, bool, error) {
	text, err := s.o.Object(ctx, recordPrefix+id)
	if err == nil {
		return text, true, nil
	}
	if storer.KindOf(err) != storer.KindAbsent {
		return nil, false, err
	}
	rows, err := s.o.Read(ctx, recordPrefix+id)
	if err != nil || len(rows.Rows) == 0 {
		return nil, false, err
	}
	return rows.Rows[0].Value, false, nil
}

// storeRecord writes the record of a completed change to the object store and
// deletes its row in the table.
func (s *Service) storeRecord(ctx context.Context, record *Record) *submitter.Problem {
	body, err := json.Marshal(record)
	if err != nil {
		return &submitter.Problem{Status: http.StatusInternalServerError, Title: "the record of the change cannot be written"}
	}
	if err := s.o.PutObject(ctx, recordPrefix+record.ChangeID, body); err != nil {
		return &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the change is made but its record may be missing",
			Detail: "repeat it with the change id " + record.ChangeID + " to write the record",
		}
	}
	// A row that remains after an error is harmless: findRecord reads the object
	// store first.
	_, _ = s.o.Write(ctx, storer.Transaction{
		RequestID: record.ChangeID + "-stored",
		Deletes:   []string{recordPrefix + record.ChangeID},
	})
	return nil
}

// record returns the record of a change.
func (s *Service) record(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	id := r.PathValue("change")
	if err := uuid.Validate(id); err != nil {
		return nil, &submitter.Problem{Status: http.StatusBadRequest, Title: "the change id is not a UUID"}
	}
	text, _, err := s.findRecord(r.Context(), id)
	switch {
	case err != nil:
		return nil, &submitter.Problem{Status: http.StatusServiceUnavailable, Title: "the platform cannot be reached"}
	case text == nil:
		return nil, &submitter.Problem{Status: http.StatusNotFound, Title: "no such change"}
	}
	return json.RawMessage(text), nil
}

func (s *Service) cancelJob(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	return s.change(r, principal, ActionCancelJob, r.PathValue("submission"),
		func(_ context.Context, record *Record) ([]Silent, *submitter.Problem) {
			state, problem := s.askOwner(r, CallCancelJob)
			if problem != nil {
				return nil, problem
			}
			record.Detail = "the job is " + string(state.State)
			if state.Answer != nil {
				record.Detail += ": " + string(state.Answer.Outcome)
			}
			return nil, nil
		})
}

func (s *Service) cancelService(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	name := r.PathValue("service")
	return s.change(r, principal, ActionCancelService, name, s.cancelAll(Selection{Service: name}))
}

func (s *Service) cancelTeam(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	name := r.PathValue("team")
	return s.change(r, principal, ActionCancelTeam, name, s.cancelAll(Selection{Team: name}))
}

// cancelAll cancels the selected jobs at every entry.
func (s *Service) cancelAll(sel Selection) func(context.Context, *Record) ([]Silent, *submitter.Problem) {
	return func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem) {
		body, err := json.Marshal(sel)
		if err != nil {
			return nil, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the request cannot be passed on"}
		}
		parts, silent := gather[Cancelled](ctx, s, CallCancelJobs, body)
		jobs := 0
		for _, p := range parts {
			jobs += p.part.Jobs
		}
		record.Detail = "jobs cancelled: " + strconv.Itoa(jobs)
		return silent, nil
	}
}
