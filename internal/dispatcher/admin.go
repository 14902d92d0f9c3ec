package dispatcher

import (
	"context"
	"net/http"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.meter.Handler())
	e.administration().Register(mux)
	// Cross-origin requests are rejected, so that a page in an operator's browser cannot
	// make changes with the operator's credentials.
	return http.NewCrossOriginProtection().Handler(http.MaxBytesHandler(mux, maxAdminBytes))
}

// maxAdminBytes bounds the body of a request for administration.
const maxAdminBytes = 4 << 20

// administration returns the administration API of this entry.
func (e *Entry) administration() *administrator.Service {
	return administrator.New(administrator.Options{
		Authenticate: e.administrator,
		AskAll:       e.askAll,
		AskOwner: func(ctx context.Context, s identifier.Submission, call administrator.Call, body []byte) administrator.Part {
			return e.ask(ctx, e.ownerOf(s), call, body)
		},
		Config:    e.configInForce,
		Read:      e.platform.Read,
		Write:     e.platform.Write,
		Object:    e.platform.Object,
		Objects:   e.platform.Objects,
		PutObject: e.platform.PutObject,
		Now:       time.Now,
		Sleep:     e.platform.Sleep,

		ConfigTimeout: administrator.DefaultConfigTimeout,
	})
}

// configInForce returns the configuration and its version.
func (e *Entry) configInForce() (*configurer.Config, uint64) {
	return e.config.Read(), e.configVersion.Load()
}

// subscribeAdministration starts the periodic work of administration: it reloads the
// TLS files, reads the operators' holds and stores the burn counts.
func (e *Entry) subscribeAdministration() {
	e.watchCertificates()
	e.timers.Subscribe(holdsPollInterval, func(time.Time) { _ = e.readHolds(e.background) })
	e.timers.Subscribe(snapshotInterval, func(time.Time) { e.storeBurn(e.background) })
	go func() {
		_ = e.awaitHolds(e.background)
		e.loadBurn(e.background)
	}()
}

// Draining reports whether the load balancer should send no new requests, because the
// entry is shutting down or an operator drains it.
func (e *Entry) Draining() bool { return e.stopping.Load() || e.drained.Load() }

// serveReady answers the load balancer's readiness check.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.Draining():
		writeProblem(w, &submitter.Problem{Status: http.StatusServiceUnavailable, Title: "the entry is draining"})
	case e.config.Read() == nil:
		writeProblem(w, noConfiguration())
	default:
		w.WriteHeader(http.StatusOK)
	}
}
