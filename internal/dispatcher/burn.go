package dispatcher

import (
	"context"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/reporter"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// snapshotInterval is the interval at which the burn counts are written to the object
// store.
const snapshotInterval = time.Minute

// burnCounts counts this entry's answers to callers for the burn report.
type burnCounts struct {
	mu       sync.Mutex
	recorder *reporter.Recorder
	// loaded is set once the predecessor's snapshot has been loaded or is known to be
	// absent. Until then no snapshot is written, since it would overwrite the
	// predecessor's.
	loaded bool
}

func newBurnCounts() *burnCounts { return &burnCounts{recorder: reporter.New()} }

// recordBurn counts an answer to a caller.
func (e *Entry) recordBurn(service string, a *messenger.Answer, duration time.Duration) {
	event := reporter.Event{
		Service: service,
		Outcome: submitter.Outcome(a.Outcome),
		Reason:  submitter.Reason(a.Reason),
	}
	if c := e.config.Read(); c != nil {
		if s, ok := c.Service(service); ok {
			event.Slow = duration > s.Objective.Latency
		}
	}
	for _, o := range reporter.Objectives() {
		e.meter.Judged(service, string(o), string(event.Verdict(o)))
	}
	e.burn.mu.Lock()
	defer e.burn.mu.Unlock()
	e.burn.recorder.Record(time.Now(), event)
}

// burnSnapshot returns the burn counts of this entry, which include its predecessor's
// once they are loaded.
func (e *Entry) burnSnapshot() *reporter.Snapshot {
	e.burn.mu.Lock()
	defer e.burn.mu.Unlock()
	s := e.burn.recorder.Snapshot(time.Now())
	s.Instance = e.instance()
	s.Peer = string(e.settings.Peer)
	if !e.burn.loaded {
		s.Incomplete = "what its predecessor counted is not loaded: the object store could not be read"
	}
	return s
}

// instance returns the name under which this entry stores its burn counts. A process
// that replaces this one has the same instance name.
func (e *Entry) instance() string {
	if e.settings.Instance != "" {
		return e.settings.Instance
	}
	return e.settings.DataCentre + "@" + e.PeerAddr().String()
}

// storeBurn writes this entry's burn counts to the object store, after it has loaded
// the predecessor's.
func (e *Entry) storeBurn(ctx context.Context) {
	if !e.loadBurn(ctx) {
		return
	}
	body, err := e.burnSnapshot().Encode()
	if err != nil {
		e.settings.Logger.Error().Err(err).Msg("cannot encode the counts of the burn report")
		return
	}
	if err := e.platform.PutObject(ctx, administrator.SnapshotPrefix+e.instance(), body); err != nil {
		e.settings.Logger.Warn().Err(err).Msg("cannot store the counts of the burn report")
	}
}

// loadBurn loads the predecessor's snapshot unless that has been done, and reports
// whether it is loaded.
func (e *Entry) loadBurn(ctx context.Context) bool {
	e.burn.mu.Lock()
	loaded := e.burn.loaded
	e.burn.mu.Unlock()
	if loaded {
		return true
	}
	text, err := e.platform.Object(ctx, administrator.SnapshotPrefix+e.instance())
	var predecessor *reporter.Snapshot
	switch storer.KindOf(err) {
	case "":
		if predecessor, err = reporter.Decode(text); err != nil {
			e.settings.Logger.Error().Err(err).Msg("cannot decode the predecessor's counts of the burn report; discarding them")
			predecessor = new(reporter.Snapshot)
		}
	case storer.KindAbsent:
		predecessor = new(reporter.Snapshot)
	default:
		return false
	}
	e.burn.mu.Lock()
	defer e.burn.mu.Unlock()
	if !e.burn.loaded {
		e.burn.recorder.Load(time.Now(), predecessor)
		e.burn.loaded = true
	}
	return true
}
