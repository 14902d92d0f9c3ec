package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// ConfigChange asks for a new version of the configuration.
type ConfigChange struct {
	// Expect is the version that the operator has seen, 0 for none. It must be given:
	// a change that was made from an unknown version could undo another.
	Expect  *uint64 `json:"expect-version"`
	Comment string  `json:"comment,omitempty"`
	// RollbackTo is the version whose content to take; Base and Overlays are empty
	// then.
	RollbackTo uint64   `json:"rollback-to,omitempty"`
	Base       string   `json:"base,omitempty"`
	Overlays   []string `json:"overlays,omitempty"`
	// Repeated says that the same change may have been asked for before.
	Repeated bool `json:"repeated,omitempty"`
}

// ConfigApplied is what became of a change. Its status is 200 if it was accepted,
// 409 after a conflict and 503 if the platform did not say.
type ConfigApplied struct{ versioner.Report }

// status is that of the HTTP answer: a change may be refused with the whole result.
func (a *ConfigApplied) status() int {
	switch {
	case a.Verdict == versioner.VerdictAccepted:
		return http.StatusOK
	case a.Reason == versioner.ReasonConflict:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

const (
	// DefaultConfigPatience is [Options.ConfigPatience] in production. It is chosen
	// well below the 20 s that a command tries.
	DefaultConfigTimeout = 5 * time.Second
	// defaultHistory and maxHistory bound a list of versions; older ones are read
	// from the object store one by one.
	defaultHistory = 20
	maxHistory     = 1000
)

// configTarget is the target of the records of changes of the configuration.
const configTarget = "configuration"

// applyConfig makes a new version in the name of the operator. The record of the
// change is written in the transaction of the version.
func (s *Service) applyConfig(r *http.Request, who authenticator.Principal) (any, *submitter.Problem) {
	id, problem := changeID(r)
	if problem != nil {
		return nil, problem
	}
	asked, problem := decodeConfigChange(r)
	if problem != nil {
		return nil, problem
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.o.ConfigTimeout)
	defer cancel()
	content, problem := s.content(ctx, asked)
	if problem != nil {
		return nil, problem
	}
	record := s.configRecord(id, who, asked)
	stored, result, problem := s.recordedChange(ctx, record, asked)
	if problem != nil || result != nil {
		return result, problem
	}
	made, err := s.versions.Apply(ctx, versioner.Change{
		ID:            id,
		ExpectVersion: *asked.Expect,
		Operator:      who.Name,
		Comment:       asked.Comment,
		RollbackTo:    asked.RollbackTo,
		Content:       *content,
		Repeated:      asked.Repeated,
		Puts:          []storer.Put{recordPut(record)},
	})
	if err != nil {
		return nil, versionProblem(err)
	}
	if made.Verdict == versioner.VerdictAccepted && !stored {
		if problem := s.keep(r.Context(), record); problem != nil {
			return nil, problem
		}
	}
	return &ConfigApplied{s.versions.Report(r.Context(), made)}, nil
}

// recordedChange looks for the record of an earlier run of the change. It reports
// whether it is in the object store, and returns a result if the platform cannot
// be asked.
func (s *Service) recordedChange(ctx context.Context, record *Record, asked *ConfigChange) (bool, any, *submitter.Problem) {
	text, stored, err := s.findRecord(ctx, record.ChangeID)
	if err != nil {
		return false, unreachable(record.ChangeID, asked), nil
	}
	if text == nil {
		return false, nil, nil
	}
	var before Record
	if problem := decodeRecord(text, &before); problem != nil {
		return false, nil, problem
	}
	// The detail has the version, so that an id makes one version only.
	if before.Action != record.Action || before.Target != record.Target || before.Detail != record.Detail {
		return false, nil, before.used()
	}
	*record = before
	return stored, nil, nil
}

// unreachable is the result of a change before which the platform did not answer.
func unreachable(id string, asked *ConfigChange) *ConfigApplied {
	return &ConfigApplied{asked.unavailable(id, "the platform did not answer; nothing was written",
		"the platform did not say what became of the change")}
}

// unavailable is the result of a change of which nothing was heard: refused if it
// cannot have been made, unknown if it was asked for before.
func (c *ConfigChange) unavailable(id, refused, unknown string) versioner.Report {
	out := versioner.Result{
		Verdict:  versioner.VerdictRefused,
		Reason:   versioner.ReasonUnavailable,
		ChangeID: id,
		Expected: *c.Expect,
		Detail:   refused,
	}
	if c.Repeated {
		out.Verdict = versioner.VerdictUnknown
		out.Detail = unknown
	}
	return versioner.Report{Result: out}
}

func (s *Service) configRecord(id string, who authenticator.Principal, asked *ConfigChange) *Record {
	record := &Record{
		ChangeID: id,
		Action:   ActionApplyConfig,
		Target:   configTarget,
		By:       who.Name,
		At:       s.o.Now().UTC(),
		Detail:   "now version " + strconv.FormatUint(*asked.Expect+1, 10),
	}
	if asked.RollbackTo > 0 {
		record.Action = ActionRollbackConfig
		record.Detail += ", the content of version " + strconv.FormatUint(asked.RollbackTo, 10)
	}
	_, record.ConfigVersion = s.o.Config()
	return record
}

// content returns the checked texts of a change.
func (s *Service) content(ctx context.Context, asked *ConfigChange) (*configurer.Version, *submitter.Problem) {
	base := configurer.File{Name: "base", Text: []byte(asked.Base)}
	var overlays []configurer.File
	for i, text := range asked.Overlays {
		overlays = append(overlays, configurer.File{Name: "overlay " + strconv.Itoa(i+1), Text: []byte(text)})
	}
	if asked.RollbackTo > 0 {
		old, err := s.versions.Version(ctx, asked.RollbackTo)
		if err != nil {
			return nil, versionProblem(err)
		}
		base, overlays = old.Files()
	}
	v, err := configurer.NewVersion(base, overlays)
	if err != nil {
		return nil, &submitter.Problem{Status: http.StatusBadRequest, Title: "the configuration is not valid", Detail: err.Error()}
	}
	return v, nil
}

func decodeConfigChange(r *http.Request) (*ConfigChange, *submitter.Problem) {
	asked := new(ConfigChange)
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(asked)
	switch {
	case err != nil:
	case asked.Expect == nil:
		err = errors.New("expect-version must be given")
	case asked.RollbackTo > 0 && (asked.Base != "" || len(asked.Overlays) > 0):
		err = errors.New("rollback-to and files exclude each other")
	}
	if err != nil {
		return nil, &submitter.Problem{Status: http.StatusBadRequest, Title: "the body is not a change of the configuration", Detail: err.Error()}
	}
	return asked, nil
}

// configHistory lists the heads of the latest versions, the newest first.
func (s *Service) configHistory(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, &submitter.Problem{Status: http.StatusBadRequest, Title: "the limit is not valid", Detail: "it must be from 1 to " + strconv.Itoa(maxHistory)}
		}
		limit = n
	}
	heads, err := s.versions.History(r.Context(), limit)
	if err != nil {
		return nil, versionProblem(err)
	}
	return Listing[configurer.Head]{Items: append([]configurer.Head{}, heads...)}, nil
}

// configVersion returns a whole version; it is for those who may change it, since
// it has the hashes of tokens.
func (s *Service) configVersion(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	number, problem := s.versionNumber(r)
	if problem != nil {
		return nil, problem
	}
	v, err := s.versions.Version(r.Context(), number)
	if err != nil {
		return nil, versionProblem(err)
	}
	return v, nil
}

// versionNumber returns the number in the path, or the current one for "current".
func (s *Service) versionNumber(r *http.Request) (uint64, *submitter.Problem) {
	text := r.PathValue("number")
	if text == "current" {
		head, err := s.versions.Current(r.Context())
		if err != nil {
			return 0, versionProblem(err)
		}
		return head.Number, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, &submitter.Problem{Status: http.StatusBadRequest, Title: "the version is not a number"}
	}
	return number, nil
}

// versionProblem returns the problem of a call of the versioner that failed.
func versionProblem(err error) *submitter.Problem {
	switch versioner.KindOf(err) {
	case versioner.KindAbsent:
		return &submitter.Problem{Status: http.StatusNotFound, Title: "no such version", Detail: err.Error()}
	case versioner.KindInvalid:
		return &submitter.Problem{Status: http.StatusConflict, Title: "the change cannot be made", Detail: err.Error()}
	}
	return &submitter.Problem{Status: http.StatusServiceUnavailable, Title: "the platform cannot be reached", Detail: err.Error()}
}
