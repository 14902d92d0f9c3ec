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

// Action names a change.
type Action string

// The actions.
const (
	ActionDrainUpstream   Action = "drain-upstream"
	ActionUndrainUpstream Action = "undrain-upstream"
	ActionEjectUpstream   Action = "eject-upstream"
	ActionRestoreUpstream Action = "restore-upstream"
	ActionDrainEntry      Action = "drain-entry"
	ActionUndrainEntry    Action = "undrain-entry"
	ActionCancelJob       Action = "cancel-job"
	ActionCancelService   Action = "cancel-service"
	ActionCancelTeam      Action = "cancel-team"
	ActionDeclareDead     Action = "declare-dead"
	ActionApplyConfig     Action = "apply-config"
	ActionRollbackConfig  Action = "rollback-config"
)

// Record is what the object store keeps of a change.
type Record struct {
	ChangeID string    `json:"change-id"`
	Action   Action    `json:"action"`
	Target   string    `json:"target"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// ConfigVersion is the version of the configuration in force at the time.
	ConfigVersion uint64 `json:"config-version"`
	// Detail says what the change did.
	Detail string `json:"detail,omitempty"`
}

// Changed is the answer to a change.
type Changed struct {
	Record
	// Repeated says that the change had been made before; nothing was done again.
	Repeated bool `json:"repeated,omitempty"`
	// Silent lists the entries that were not told. They learn of the change from
	// the table by themselves.
	Silent []Silent `json:"silent,omitempty"`
}

// recordPrefix is the prefix of the keys of records in the object store, and of
// rows in the table that hold a record until it is in the object store. Such a
// row is written in the transaction of the change, so that a change whose record
// could not be stored is known when it is repeated.
const recordPrefix = "audit/"

// change makes a change once and leaves its record. The function makes the
// change; it is safe to call again under the same change id.
func (s *Service) change(r *http.Request, who authenticator.Principal, action Action, target string,
	do func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem),
) (any, *submitter.Problem) {
	ctx := r.Context()
	id, problem := changeID(r)
	if problem != nil {
		return nil, problem
	}
	record := Record{ChangeID: id, Action: action, Target: target, By: who.Name}
	known, problem := s.known(ctx, &record)
	if problem != nil || known != nil {
		return known, problem
	}
	record.At = s.o.Now().UTC()
	_, record.ConfigVersion = s.o.Config()
	silent, problem := do(ctx, &record)
	if problem != nil {
		return nil, problem
	}
	if problem := s.keep(ctx, &record); problem != nil {
		return nil, problem
	}
	return &Changed{Record: record, Silent: silent}, nil
}

// changeID returns the id that names the change of a request, or a new one.
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

// known returns the change if it was made before under the same id. If only its
// row is there, its record is stored now.
func (s *Service) known(ctx context.Context, want *Record) (any, *submitter.Problem) {
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
		return nil, record.used()
	}
	if !stored {
		if problem := s.keep(ctx, &record); problem != nil {
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

// used is the answer to another change under the id of this one.
func (r *Record) used() *submitter.Problem {
	return &submitter.Problem{
		Status: http.StatusConflict,
		Title:  "the change id was used for another change",
		Detail: "it was used to " + string(r.Action) + " " + r.Target,
	}
}

// findRecord returns the record of a change and whether it is in the object
// store; nil if there is no such change.
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

// keep writes the record of a change that was made, and removes its row.
func (s *Service) keep(ctx context.Context, record *Record) *submitter.Problem {
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
	// A row that stays behind does no harm: the object is found before it.
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

func (s *Service) cancelJob(r *http.Request, who authenticator.Principal) (any, *submitter.Problem) {
	return s.change(r, who, ActionCancelJob, r.PathValue("submission"),
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

func (s *Service) cancelService(r *http.Request, who authenticator.Principal) (any, *submitter.Problem) {
	name := r.PathValue("service")
	return s.change(r, who, ActionCancelService, name, s.cancelAll(Selection{Service: name}))
}

func (s *Service) cancelTeam(r *http.Request, who authenticator.Principal) (any, *submitter.Problem) {
	name := r.PathValue("team")
	return s.change(r, who, ActionCancelTeam, name, s.cancelAll(Selection{Team: name}))
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
