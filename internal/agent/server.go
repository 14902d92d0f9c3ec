package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/invoker"
)

// Limits of the announcement server.
const (
	headerTimeout        = 5 * time.Second
	maxAnnouncementBytes = 64 << 10
	defaultTimeToLive    = 5 * time.Second
	maxTimeToLive        = time.Minute
)

func (a *Agent) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+invoker.AnnouncePath, a.serveAnnouncement)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", a.meter.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (a *Agent) serve() error {
	err := a.server.Serve(a.secure(a.listener))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &Error{Op: "serve", Kind: KindServe, Err: err}
}

// serveAnnouncement handles an announcement, its renewal or its withdrawal.
func (a *Agent) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	var in invoker.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkAnnouncement(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.loop.Post(func(now time.Time) { a.announce(now, in) })
	w.WriteHeader(http.StatusNoContent)
}

// announce applies an announcement. It runs on the control thread.
func (a *Agent) announce(now time.Time, in invoker.Announcement) {
	before, _ := a.guard.Upstream()
	if a.invoker == nil || before.Connections != in.Connections {
		a.invoker = invoker.New(in.Connections)
	}
	in.Leaving = in.Leaving || a.draining
	a.guard.Announce(now, in)
}

// checkAnnouncement sets the defaults of an announcement and returns an error that
// lists all invalid fields.
func checkAnnouncement(in *invoker.Announcement) error {
	var faults []string
	if !in.Address.IsValid() {
		faults = append(faults, "address must be IP:port")
	}
	if in.Slots < 1 {
		faults = append(faults, "slots must be at least 1")
	}
	if in.Connections < 1 {
		faults = append(faults, "connections must be at least 1")
	}
	if len(in.Services) == 0 {
		faults = append(faults, "services must not be empty")
	}
	if in.MemoryBytes < 0 || in.Accelerators < 0 {
		faults = append(faults, "memory-bytes and accelerators must not be negative")
	}
	if in.TimeToLive == 0 {
		in.TimeToLive = defaultTimeToLiveJSON
	}
	if ttl := time.Duration(in.TimeToLive); ttl < 0 || ttl > maxTimeToLive {
		faults = append(faults, "time-to-live must be positive and at most "+maxTimeToLive.String())
	}
	if len(faults) > 0 {
		return newAnnouncementError(faults)
	}
	return nil
}
