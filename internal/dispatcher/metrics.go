package dispatcher

import (
	"net/http"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/reporter"
	"sardinelock.dev/sardinelock/internal/storer"
)

func (e *Entry) newMeter() (*meter.Meter, error) {
	s := meter.Sources{
		Traffic: &e.counts,
		Busy:    e.loop.Busy,
		Entry:   e.meterState,
	}
	if e.settings.TLS != nil {
		s.CertificateExpiry = e.settings.TLS.Expiry
	}
	m, err := meter.New(meter.Identity{
		Role:       string(messenger.RoleEntry),
		Peer:       string(e.settings.Peer),
		Region:     e.settings.Region,
		DataCentre: e.settings.DataCentre,
	}, s)
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindInvalid, Err: err}
	}
	e.platform.Observe = func(op string, kind storer.Kind) { m.StoreCall(op, string(kind)) }
	return m, nil
}

// meterState returns the state of the entry for its metrics. It must not be called on
// the control thread.
func (e *Entry) meterState() meter.EntryState {
	s := meter.EntryState{
		ConfigVersion: e.configVersion.Load(),
		ConfigAge:     -1,
		Draining:      e.Draining(),
	}
	e.meterConfig(&s)
	s.Objectives = objectiveStates(e.config.Read())
	e.loop.Call(func(time.Time) {
		s.Ejections = e.coordinator.Ejections()
		s.KeptJobs, s.OpenJobs = e.coordinator.JobCounts()
		s.QueuedTasks = e.coordinator.Queued()
		s.Partitions = e.coordinator.Owned()
		addUpstreams(&s, e.coordinator)
	})
	return s
}

func objectiveStates(c *configurer.Config) []meter.ObjectiveState {
	if c == nil {
		return nil
	}
	var out []meter.ObjectiveState
	for i := range c.Services {
		s := &c.Services[i]
		for _, o := range reporter.Objectives() {
			out = append(out, meter.ObjectiveState{
				Service:    s.Name,
				Objective:  string(o),
				Budget:     1 - reporter.Target(s, o),
				MinBadJobs: s.Objective.MinBadJobs,
			})
		}
	}
	return out
}

func addUpstreams(s *meter.EntryState, c *coordinator.Coordinator) {
	states := []messenger.UpstreamState{
		messenger.UpstreamAbsent, messenger.UpstreamServing, messenger.UpstreamLeaving,
	}
	counts := make([]int, len(states))
	for _, u := range c.Upstreams() {
		s.CreditLimit += u.Credit
		s.CreditUsed += u.Outstanding
		for i, state := range states {
			if u.Capacity.State == state {
				counts[i]++
			}
		}
	}
	for i, state := range states {
		s.Upstreams = append(s.Upstreams, meter.StateCount{State: string(state), Count: counts[i]})
	}
	agents, entries := c.PeerCounts()
	s.Peers = []meter.StateCount{
		{State: string(messenger.RoleAgent), Count: agents},
		{State: string(messenger.RoleEntry), Count: entries},
	}
}

// recordAnswer records the answer to a caller's job in the metrics and the burn counts.
func (e *Entry) recordAnswer(service string, a *messenger.Answer, duration time.Duration) {
	e.meter.Answered(service, a.Outcome, a.Reason, duration)
	e.recordBurn(service, a, duration)
}

// withMetrics records the duration and status of each request by its route.
func (e *Entry) withMetrics(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(recorder, r)
		e.meter.Request(r.Method, routeOf(r), recorder.status, time.Since(start))
	})
}

// routeOf returns the path pattern that the request matched.
func routeOf(r *http.Request) string {
	if _, path, ok := strings.Cut(r.Pattern, " "); ok {
		return path
	}
	return r.Pattern
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
