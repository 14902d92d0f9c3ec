package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// HeaderChangeID is the request header with the change id that the operator chose.
const HeaderChangeID = "Sardinelock-Change-Id"

// Options are the functions and settings that the entry provides to its
// administration API. All functions must be set and be safe for concurrent use.
type Options struct {
	// Authenticate returns the principal of a request if it has one of the roles.
	Authenticate func(r *http.Request, roles ...authenticator.Role) (authenticator.Principal, *submitter.Problem)
	// AskAll sends a call to every known entry, including this one, and returns the
	// parts in order of the entries' names.
	AskAll func(ctx context.Context, call Call, body []byte) []Part
	// AskOwner sends a call to the owner of a submission.
	AskOwner func(ctx context.Context, s identifier.Submission, call Call, body []byte) Part
	// Config returns the configuration in force and its version, or nil and 0.
	Config func() (*configurer.Config, uint64)
	// Read, Write, Object, Objects and PutObject call the platform.
	Read      func(ctx context.Context, prefix string) (storer.Range, error)
	Write     func(ctx context.Context, t storer.Transaction) (storer.Outcome, error)
	Object    func(ctx context.Context, key string) ([]byte, error)
	Objects   func(ctx context.Context, prefix string) ([]string, error)
	PutObject func(ctx context.Context, key string, body []byte) error
	// Now returns the current time. Sleep waits for a duration or until the context
	// ends.
	Now   func() time.Time
	Sleep func(ctx context.Context, d time.Duration)
	// ConfigTimeout is how long a request tries to determine the outcome of a change
	// of the configuration.
	ConfigTimeout time.Duration
}

// Service serves the administration API.
type Service struct {
	o        Options
	versions *versioner.Versioner
}

// New returns a service with the options.
func New(o Options) *Service {
	return &Service{o: o, versions: &versioner.Versioner{
		Read:      o.Read,
		Write:     o.Write,
		Object:    o.Object,
		PutObject: o.PutObject,
		Now:       o.Now,
		Sleep:     o.Sleep,
	}}
}

// Register adds the routes of the API.
func (s *Service) Register(mux *http.ServeMux) {
	for pattern, f := range s.readRoutes() {
		mux.HandleFunc(pattern, s.serve(f, authenticator.RoleViewer, authenticator.RoleOperator))
	}
	for pattern, f := range s.operatorRoutes() {
		mux.HandleFunc(pattern, s.serve(f, authenticator.RoleOperator))
	}
	mux.HandleFunc("GET /burn", s.serveBurnPage)
}

// readRoutes are the routes that viewers and operators may use.
func (s *Service) readRoutes() map[string]handler {
	return map[string]handler{
		"GET /v1/admin/entries":           s.entries,
		"GET /v1/admin/upstreams":         s.upstreams,
		"GET /v1/admin/data-centres":      s.dataCentres,
		"GET /v1/admin/partitions":        s.partitions,
		"GET /v1/admin/roster":            s.roster,
		"GET /v1/admin/services":          s.services,
		"GET /v1/admin/teams":             s.teams,
		"GET /v1/admin/jobs":              s.jobs,
		"GET /v1/admin/jobs/{submission}": s.job,
		"GET /v1/admin/changes/{change}":  s.record,
		"GET /v1/admin/burn":              s.burn,
		"GET /v1/admin/config":            s.config,
		"GET /v1/admin/config/versions":   s.configHistory,
	}
}

// operatorRoutes are the routes that only operators may use: all changes, and the
// read of a whole version of the configuration, which contains hashes of tokens.
func (s *Service) operatorRoutes() map[string]handler {
	return map[string]handler{
		"GET /v1/admin/config/versions/{number}":      s.configVersion,
		"POST /v1/admin/config/versions":              s.applyConfig,
		"POST /v1/admin/upstreams/{peer}/{action}":    s.changeUpstream,
		"POST /v1/admin/entries/{peer}/{action}":      s.changeEntry,
		"POST /v1/admin/data-centres/{name}/{action}": s.changeDataCentre,
		// The multiplexer redirects a path with an empty name to this one.
		"POST /v1/admin/data-centres/{action}":     s.changeDataCentre,
		"POST /v1/admin/jobs/{submission}/cancel":  s.cancelJob,
		"POST /v1/admin/services/{service}/cancel": s.cancelService,
		"POST /v1/admin/teams/{team}/cancel":       s.cancelTeam,
		"POST /v1/admin/roster/declare-dead":       s.declareDead,
	}
}

// handler handles one request and returns a value to be written as JSON, or a problem.
type handler func(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem)

func (s *Service) serve(f handler, roles ...authenticator.Role) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		principal, problem := s.o.Authenticate(r, roles...)
		if problem != nil {
			writeProblem(w, problem)
			return
		}
		v, problem := f(r, principal)
		if problem != nil {
			writeProblem(w, problem)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if a, ok := v.(*ConfigApplied); ok {
			w.WriteHeader(a.status())
		}
		// Encode fails only if the client has closed the connection.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// Listing is the merged answer of all entries.
type Listing[T any] struct {
	Items []T `json:"items"`
	// Silent lists the entries that did not answer; their parts are missing from
	// Items.
	Silent []Silent `json:"silent,omitempty"`
}

// gather sends a call to every entry and decodes the answers. It returns the parts in
// order of the entries' names, and the entries that gave no readable answer.
func gather[T any](ctx context.Context, s *Service, call Call, body []byte) ([]entryPart[T], []Silent) {
	var (
		out    []entryPart[T]
		silent []Silent
	)
	for _, p := range s.o.AskAll(ctx, call, body) {
		a := entryPart[T]{peer: p.Peer}
		detail := p.Detail
		if detail == "" {
			if err := json.Unmarshal(p.Body, &a.part); err != nil {
				detail = "the answer cannot be read"
			}
		}
		if detail != "" {
			silent = append(silent, Silent{Entry: p.Peer, Detail: detail})
			continue
		}
		out = append(out, a)
	}
	return out, silent
}

// entryPart is the decoded part of one entry.
type entryPart[T any] struct {
	peer messenger.Peer
	part T
}

func writeProblem(w http.ResponseWriter, p *submitter.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
