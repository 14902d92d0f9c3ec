package administrator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/reporter"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// SnapshotPrefix is the prefix of the keys of entries' snapshots in the object
// store.
const SnapshotPrefix = "burn/"

func (s *Service) burn(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	report, _, _, problem := s.makeReport(r)
	if problem != nil {
		return nil, problem
	}
	return report, nil
}

// makeReport reports on the window and the service that the query names.
func (s *Service) makeReport(r *http.Request) (*reporter.Report, []configurer.Service, *reporter.Snapshot, *submitter.Problem) {
	config, _ := s.o.Config()
	if config == nil {
		return nil, nil, nil, noConfiguration()
	}
	window := reporter.MaxWindow
	if text := r.URL.Query().Get("window"); text != "" {
		var err error
		if window, err = time.ParseDuration(text); err != nil || window <= 0 || window > reporter.MaxWindow {
			return nil, nil, nil, &submitter.Problem{
				Status: http.StatusBadRequest,
				Title:  "the window is not valid",
				Detail: "it must be a duration of at most " + reporter.MaxWindow.String(),
			}
		}
	}
	services := config.Services
	if name := r.URL.Query().Get("service"); name != "" {
		one, ok := config.Service(name)
		if !ok {
			return nil, nil, nil, &submitter.Problem{Status: http.StatusNotFound, Title: "unknown service"}
		}
		services = []configurer.Service{*one}
	}
	now := s.o.Now()
	counts, missing := s.gatherCounts(r.Context(), now)
	report := reporter.Make(now, window, services, counts)
	report.Missing = missing
	return report, services, counts, nil
}

// gatherCounts sums what the entries have counted. For an entry that does not
// answer and for one that has gone, its last snapshot in the object store counts.
func (s *Service) gatherCounts(ctx context.Context, now time.Time) (*reporter.Snapshot, []reporter.Missing) {
	var (
		all     []*reporter.Snapshot
		missing []reporter.Missing
		silent  []Part
	)
	live := make(map[string]bool)
	for _, p := range s.o.AskAll(ctx, CallBurn, nil) {
		snapshot, err := reporter.Decode(p.Body)
		if p.Detail != "" || err != nil {
			silent = append(silent, p)
			continue
		}
		if live[snapshot.Instance] {
			missing = append(missing, reporter.Missing{
				Entry:  snapshot.Peer,
				Detail: "another entry has the instance " + snapshot.Instance + " as well; some jobs may be counted twice",
			})
		}
		live[snapshot.Instance] = true
		all = append(all, snapshot)
		if snapshot.Incomplete != "" {
			missing = append(missing, reporter.Missing{Entry: snapshot.Peer, Detail: snapshot.Incomplete})
		}
	}
	kept, err := s.keptSnapshots(ctx, live)
	if err != nil {
		missing = append(missing, reporter.Missing{
			Entry:  "all entries that have gone or are silent",
			Detail: "the object store cannot be read; their counts are left out",
		})
	}
	for _, p := range silent {
		missing = append(missing, missingPart(now, p, kept, err != nil))
	}
	sum := reporter.Sum(append(all, kept...))
	return sum, missing
}

// keptSnapshots reads the snapshots of the instances that are not live.
func (s *Service) keptSnapshots(ctx context.Context, live map[string]bool) ([]*reporter.Snapshot, error) {
	keys, err := s.o.Objects(ctx, SnapshotPrefix)
	if err != nil {
		return nil, err
	}
	var out []*reporter.Snapshot
	for _, key := range keys {
		if live[strings.TrimPrefix(key, SnapshotPrefix)] {
			continue
		}
		text, err := s.o.Object(ctx, key)
		if err != nil {
			return out, err
		}
		snapshot, err := reporter.Decode(text)
		if err != nil {
			return out, err
		}
		out = append(out, snapshot)
	}
	return out, nil
}

// missingPart says what the report lacks of an entry that did not answer. The
// snapshots are unread if the object store could not be read.
func missingPart(now time.Time, p Part, kept []*reporter.Snapshot, unread bool) reporter.Missing {
	for _, k := range kept {
		if k.Peer == string(p.Peer) {
			return reporter.Missing{
				Entry:  string(p.Peer),
				Age:    submitter.Duration(now.Sub(k.Taken).Round(time.Second)),
				Detail: "did not answer; its counts are as old as its last snapshot",
			}
		}
	}
	if unread {
		return reporter.Missing{Entry: string(p.Peer), Detail: "did not answer and its snapshot cannot be read: " + p.Detail}
	}
	return reporter.Missing{Entry: string(p.Peer), Detail: "did not answer and has no snapshot: " + p.Detail}
}

// serveBurnPage serves the report as a page for people.
func (s *Service) serveBurnPage(w http.ResponseWriter, r *http.Request) {
	if _, problem := s.o.Authenticate(r, authenticator.RoleViewer, authenticator.RoleOperator); problem != nil {
		writeProblem(w, problem)
		return
	}
	report, services, counts, problem := s.makeReport(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	page, err := reporter.Page(report, services, counts)
	if err != nil {
		writeProblem(w, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the page cannot be made", Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// An error here means that the client has gone.
	_, _ = w.Write(page)
}
