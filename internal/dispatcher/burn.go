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

// snapshotEvery is the period at which the counts go to the object store.
const snapshotInterval = time.Minute

// burnCounts has what this entry has answered.
type burnCounts struct {
	mu       sync.Mutex
	recorder *reporter.Recorder
	// loaded is set once the predecessor's snapshot is loaded, or is known to be
	// absent. Until then no snapshot is written: it would replace the
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

// burnSnapshot returns what this entry has counted.
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

// instance names the place of this entry, which a successor takes over.
func (e *Entry) instance() string {
	if e.settings.Instance != "" {
		return e.settings.Instance
	}
	return e.settings.DataCentre + "@" + e.PeerAddr().String()
}

// keepBurn loads the predecessor's snapshot if that is still to be done, and
// writes this entry's.
func (e *Entry) storeBurn(ctx context.Context) {
	if !e.loadBurn(ctx) {
		return
	}
	body, err := e.burnSnapshot().Encode()
	if err != nil {
		e.settings.Logger.Error().Err(err).Msg("the counts of the burn report cannot be encoded")
		return
	}
	if err := e.platform.PutObject(ctx, administrator.SnapshotPrefix+e.instance(), body); err != nil {
		e.settings.Logger.Warn().Err(err).Msg("the counts of the burn report were not stored")
	}
}

// loadBurn loads the predecessor's snapshot once and reports whether that is done.
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
			e.settings.Logger.Error().Err(err).Msg("the predecessor's counts of the burn report cannot be read and are given up")
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
