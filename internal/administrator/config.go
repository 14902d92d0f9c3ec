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

// ConfigChange is a request for a new version of the configuration.
type ConfigChange struct {
	// Expect is the version that the operator has seen, 0 for none. It is required:
	// a change that is based on an unknown version could revert a concurrent change.
	Expect  *uint64 `json:"expect-version"`
	Comment string  `json:"comment,omitempty"`
	// RollbackTo is the version whose content the new version takes over. If it is
	// set, Base and Overlays must be empty.
	RollbackTo uint64   `json:"rollback-to,omitempty"`
	Base       string   `json:"base,omitempty"`
	Overlays   []string `json:"overlays,omitempty"`
	// Repeated is set if an earlier request for the same change may have been
	// received.
	Repeated bool `json:"repeated,omitempty"`
}

// ConfigApplied is the outcome of a change. The HTTP status is 200 if the change was
// accepted, 409 after a conflict and 503 if the platform did not answer.
type ConfigApplied struct{ versioner.Report }

// status returns the status of the HTTP response. The response to a refused change
// also has the whole result as its body.
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
	// DefaultConfigTimeout is [Options.ConfigTimeout] in production. It must be well
	// below the 20 s for which a command retries.
	DefaultConfigTimeout = 5 * time.Second
	// defaultHistory and maxHistory limit the number of listed versions: older ones
	// must be read from the object store one by one.
	defaultHistory = 20
	maxHistory     = 1000
)

// configTarget is the target in the records of configuration changes.
const configTarget = "configuration"

// applyConfig makes a new version on behalf of the operator. The record of the change
// is written in the same transaction as the version.
func (s *Service) applyConfig(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	id, problem := changeID(r)
	if problem != nil {
		return nil, problem
	}
	change, problem := decodeConfigChange(r)
	if problem != nil {
		return nil, problem
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.o.ConfigTimeout)
	defer cancel()
	content, problem := s.content(ctx, change)
	if problem != nil {
		return nil, problem
	}
	record := s.configRecord(id, principal, change)
	stored, result, problem := s.recordedChange(ctx, record, change)
	if problem != nil || result != nil {
		return result, problem
	}
	applied, err := s.versions.Apply(ctx, versioner.Change{
		ID:            id,
		ExpectVersion: *change.Expect,
		Operator:      principal.Name,
		Comment:       change.Comment,
		RollbackTo:    change.RollbackTo,
		Content:       *content,
		Repeated:      change.Repeated,
		Puts:          []storer.Put{recordPut(record)},
	})
	if err != nil {
		return nil, versionProblem(err)
	}
	if applied.Verdict == versioner.VerdictAccepted && !stored {
		if problem := s.storeRecord(r.Context(), record); problem != nil {
			return nil, problem
		}
	}
	return &ConfigApplied{s.versions.Report(r.Context(), applied)}, nil
}

// recordedChange looks for the record of an earlier request for the same change and
// copies it to record. It reports whether that record is in the object store. If the
// platform cannot be reached, it returns a result with that verdict.
func (s *Service) recordedChange(ctx context.Context, record *Record, change *ConfigChange) (bool, any, *submitter.Problem) {
	text, stored, err := s.findRecord(ctx, record.ChangeID)
	if err != nil {
		return false, platformUnreachable(record.ChangeID, change), nil
	}
	if text == nil {
		return false, nil, nil
	}
	var earlier Record
	if problem := decodeRecord(text, &earlier); problem != nil {
		return false, nil, problem
	}
	// The detail has the version number, so that an id can make only one version.
	if earlier.Action != record.Action || earlier.Target != record.Target || earlier.Detail != record.Detail {
		return false, nil, earlier.idConflict()
	}
	*record = earlier
	return stored, nil, nil
}

// platformUnreachable is the result of a change that was not attempted because the
// platform did not answer.
func platformUnreachable(id string, change *ConfigChange) *ConfigApplied {
	return &ConfigApplied{change.unavailableReport(id, "the platform did not answer; nothing was written",
		"the platform did not say what became of the change")}
}

// unavailableReport is the result of a change for which no answer was received. The
// verdict is refused if the change cannot have been made, and unknown if it may have
// been requested before. The texts are the details for the two verdicts.
func (c *ConfigChange) unavailableReport(id, refused, unknown string) versioner.Report {
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

func (s *Service) configRecord(id string, principal authenticator.Principal, change *ConfigChange) *Record {
	record := &Record{
		ChangeID: id,
		Action:   ActionApplyConfig,
		Target:   configTarget,
		By:       principal.Name,
		At:       s.o.Now().UTC(),
		Detail:   "now version " + strconv.FormatUint(*change.Expect+1, 10),
	}
	if change.RollbackTo > 0 {
		record.Action = ActionRollbackConfig
		record.Detail += ", the content of version " + strconv.FormatUint(change.RollbackTo, 10)
	}
	_, record.ConfigVersion = s.o.Config()
	return record
}

// content returns the validated files of a change.
func (s *Service) content(ctx context.Context, change *ConfigChange) (*configurer.Version, *submitter.Problem) {
	base := configurer.File{Name: "base", Text: []byte(change.Base)}
	var overlays []configurer.File
	for i, text := range change.Overlays {
		overlays = append(overlays, configurer.File{Name: "overlay " + strconv.Itoa(i+1), Text: []byte(text)})
	}
	if change.RollbackTo > 0 {
		old, err := s.versions.Version(ctx, change.RollbackTo)
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
	change := new(ConfigChange)
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(change)
	switch {
	case err != nil:
	case change.Expect == nil:
		err = errors.New("expect-version must be given")
	case change.RollbackTo > 0 && (change.Base != "" || len(change.Overlays) > 0):
		err = errors.New("rollback-to and files exclude each other")
	}
	if err != nil {
		return nil, &submitter.Problem{Status: http.StatusBadRequest, Title: "the body is not a change of the configuration", Detail: err.Error()}
	}
	return change, nil
}

// configHistory lists the heads of the latest versions, newest first.
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

// configVersion returns a whole version. Only operators may read it, since it
// contains the hashes of tokens.
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

// versionNumber returns the number in the path, or the number of the current version
// if the path has "current".
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

// versionProblem returns the problem for an error of the versioner.
func versionProblem(err error) *submitter.Problem {
	switch versioner.KindOf(err) {
	case versioner.KindAbsent:
		return &submitter.Problem{Status: http.StatusNotFound, Title: "no such version", Detail: err.Error()}
	case versioner.KindInvalid:
		return &submitter.Problem{Status: http.StatusConflict, Title: "the change cannot be made", Detail: err.Error()}
	}
	return &submitter.Problem{Status: http.StatusServiceUnavailable, Title: "the platform cannot be reached", Detail: err.Error()}
}
