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

// SnapshotPrefix is the prefix of the object-store keys of the entries' snapshots.
const SnapshotPrefix = "burn/"

func (s *Service) burn(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	built, problem := s.buildReport(r)
	if problem != nil {
		return nil, problem
	}
	return built.report, nil
}

// builtReport is a report and the data that it was built from.
type builtReport struct {
	report   *reporter.Report
	services []configurer.Service
	counts   *reporter.Snapshot
}

// buildReport reports on the window and the service that the query names. Without a
// service it covers all of them.
func (s *Service) buildReport(r *http.Request) (*builtReport, *submitter.Problem) {
	config, _ := s.o.Config()
	if config == nil {
		return nil, noConfiguration()
	}
	window, problem := queryWindow(r)
	if problem != nil {
		return nil, problem
	}
	services := config.Services
	if name := r.URL.Query().Get("service"); name != "" {
		one, ok := config.Service(name)
		if !ok {
			return nil, &submitter.Problem{Status: http.StatusNotFound, Title: "unknown service"}
		}
		services = []configurer.Service{*one}
	}
	now := s.o.Now()
	counts, missing := s.sumCounts(r.Context(), now)
	report := reporter.NewReport(now, window, services, counts)
	report.Missing = missing
	return &builtReport{report: report, services: services, counts: counts}, nil
}

// queryWindow returns the window that a query names; the default is
// [reporter.MaxWindow].
func queryWindow(r *http.Request) (time.Duration, *submitter.Problem) {
	text := r.URL.Query().Get("window")
	if text == "" {
		return reporter.MaxWindow, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window <= 0 || window > reporter.MaxWindow {
		return 0, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the window is not valid",
			Detail: "it must be a duration of at most " + reporter.MaxWindow.String(),
		}
	}
	return window, nil
}

// entrySnapshots collects the entries' answers to [CallBurn].
type entrySnapshots struct {
	snapshots []*reporter.Snapshot
	instances map[string]bool // Instance names of all snapshots.
	silent    []Part
	missing   []reporter.Missing
}

func (l *entrySnapshots) add(p Part) {
	snapshot, err := reporter.Decode(p.Body)
	if p.Detail != "" || err != nil {
		l.silent = append(l.silent, p)
		return
	}
	if l.instances[snapshot.Instance] {
		l.missing = append(l.missing, reporter.Missing{
			Entry:  snapshot.Peer,
			Detail: "another entry has the instance " + snapshot.Instance + " as well; some jobs may be counted twice",
		})
	}
	if snapshot.Incomplete != "" {
		l.missing = append(l.missing, reporter.Missing{Entry: snapshot.Peer, Detail: snapshot.Incomplete})
	}
	l.instances[snapshot.Instance] = true
	l.snapshots = append(l.snapshots, snapshot)
}

// sumCounts sums the counts of all entries. For an entry that does not answer or
// that has terminated, it uses the last snapshot in the object store.
func (s *Service) sumCounts(ctx context.Context, now time.Time) (*reporter.Snapshot, []reporter.Missing) {
	live := entrySnapshots{instances: make(map[string]bool)}
	for _, p := range s.o.AskAll(ctx, CallBurn, nil) {
		live.add(p)
	}
	stored, err := s.storedSnapshots(ctx, live.instances)
	if err != nil {
		live.missing = append(live.missing, reporter.Missing{
			Entry:  "all entries that have gone or are silent",
			Detail: "the object store cannot be read; their counts are left out",
		})
	}
	for _, p := range live.silent {
		live.missing = append(live.missing, missingPart(now, p, stored, err != nil))
	}
	return reporter.Sum(append(live.snapshots, stored...)), live.missing
}

// storedSnapshots reads the stored snapshots of all instances except the live ones,
// whose current counts are known.
func (s *Service) storedSnapshots(ctx context.Context, live map[string]bool) ([]*reporter.Snapshot, error) {
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

// missingPart describes what the report lacks for an entry that did not answer.
// storeFailed is true if the object store could not be read, so that the entry may
// have a snapshot that is not in stored.
func missingPart(now time.Time, p Part, stored []*reporter.Snapshot, storeFailed bool) reporter.Missing {
	for _, k := range stored {
		if k.Peer == string(p.Peer) {
			return reporter.Missing{
				Entry:  string(p.Peer),
				Age:    submitter.Duration(now.Sub(k.Taken).Round(time.Second)),
				Detail: "did not answer; its counts are as old as its last snapshot",
			}
		}
	}
	if storeFailed {
		return reporter.Missing{Entry: string(p.Peer), Detail: "did not answer and its snapshot cannot be read: " + p.Detail}
	}
	return reporter.Missing{Entry: string(p.Peer), Detail: "did not answer and has no snapshot: " + p.Detail}
}

// serveBurnPage serves the report as an HTML page.
func (s *Service) serveBurnPage(w http.ResponseWriter, r *http.Request) {
	if _, problem := s.o.Authenticate(r, authenticator.RoleViewer, authenticator.RoleOperator); problem != nil {
		writeProblem(w, problem)
		return
	}
	built, problem := s.buildReport(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	page, err := reporter.Page(built.report, built.services, built.counts)
	if err != nil {
		writeProblem(w, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the page cannot be made", Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// Write fails only if the client has closed the connection.
	_, _ = w.Write(page)
}
