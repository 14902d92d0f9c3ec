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
	made, problem := s.makeReport(r)
	if problem != nil {
		return nil, problem
	}
	return made.report, nil
}

// madeReport is a report with what it was made from.
type madeReport struct {
	report   *reporter.Report
	services []configurer.Service
	counts   *reporter.Snapshot
}

// makeReport reports on the window and the service that the query names.
func (s *Service) makeReport(r *http.Request) (*madeReport, *submitter.Problem) {
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
	counts, missing := s.gatherCounts(r.Context(), now)
	report := reporter.NewReport(now, window, services, counts)
	report.Missing = missing
	return &madeReport{report: report, services: services, counts: counts}, nil
}

// queryWindow returns the window that a query names, or the longest.
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

// liveCounts is what the entries have answered.
type liveCounts struct {
	snapshots []*reporter.Snapshot
	instances map[string]bool // instances are those of the snapshots.
	silent    []Part
	missing   []reporter.Missing
}

func (l *liveCounts) add(p Part) {
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

// gatherCounts sums what the entries have counted. For an entry that does not
// answer and for one that has gone, its last snapshot in the object store counts.
func (s *Service) gatherCounts(ctx context.Context, now time.Time) (*reporter.Snapshot, []reporter.Missing) {
	live := liveCounts{instances: make(map[string]bool)}
	for _, p := range s.o.AskAll(ctx, CallBurn, nil) {
		live.add(p)
	}
	kept, err := s.keptSnapshots(ctx, live.instances)
	if err != nil {
		live.missing = append(live.missing, reporter.Missing{
			Entry:  "all entries that have gone or are silent",
			Detail: "the object store cannot be read; their counts are left out",
		})
	}
	for _, p := range live.silent {
		live.missing = append(live.missing, missingPart(now, p, kept, err != nil))
	}
	return reporter.Sum(append(live.snapshots, kept...)), live.missing
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
	made, problem := s.makeReport(r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	page, err := reporter.Page(made.report, made.services, made.counts)
	if err != nil {
		writeProblem(w, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the page cannot be made", Detail: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// An error here means that the client has gone.
	_, _ = w.Write(page)
}
