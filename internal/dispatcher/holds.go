package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
)

// holdsPollInterval is the interval at which the holds are read. They are also read when
// another entry reports a change.
const holdsPollInterval = 5 * time.Second

// holds records the operators' holds that were applied last.
type holds struct {
	first    sync.Mutex // first is held during the first read.
	mu       sync.Mutex
	known    bool   // known is set once the holds were read.
	revision uint64 // revision is the revision of the table at that read.
	current  administrator.Holds
}

// get returns the holds that were applied last. The caller must not change them.
func (h *holds) get() (current administrator.Holds, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current, h.known
}

// awaitHolds reads the holds unless they were read before. The rows of partitions are
// read only after it has succeeded: an entry that restarts must not own partitions, and
// so start tasks, before it knows which upstreams and data centres are held.
func (e *Entry) awaitHolds(ctx context.Context) error {
	e.holds.first.Lock()
	defer e.holds.first.Unlock()
	if _, known := e.holds.get(); known {
		return nil
	}
	return e.readHolds(ctx)
}

// readHolds reads the operators' holds and applies them. While the platform is down,
// the holds that were read last remain in force.
func (e *Entry) readHolds(ctx context.Context) error {
	rows, err := e.platform.Read(ctx, administrator.HoldPrefix)
	if err != nil {
		return err
	}
	e.holds.mu.Lock()
	defer e.holds.mu.Unlock()
	if rows.Revision < e.holds.revision {
		return nil
	}
	e.holds.revision = rows.Revision
	h := administrator.ReadHolds(rows)
	e.logDataCentres(e.holds.current.DataCentres, h.DataCentres)
	e.holds.current = h
	e.holds.known = true
	drained := h.Entries[e.settings.Peer]
	e.drained.Store(drained)
	e.loop.Post(func(now time.Time) {
		e.coordinator.SetHolds(h.Placement())
		e.applyDrained(now, drained)
	})
	return nil
}

// applyDrained hands the partitions over if an operator drains the entry, and takes
// partitions again otherwise. An entry that is shutting down takes none. It must be
// called on the control thread.
func (e *Entry) applyDrained(now time.Time, drained bool) {
	switch {
	case drained:
		e.coordinator.Drain(now)
	case !e.stopping.Load():
		e.coordinator.Undrain(now)
	}
}

// logDataCentres logs which data centres are evacuated now and were not before, and the
// reverse.
func (e *Entry) logDataCentres(before, now map[string]administrator.DataCentreHold) {
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if _, ok := before[name]; !ok {
			e.settings.Logger.Info().Str("event", "data-centre-evacuated").Str("data-centre", name).
				Str("by", now[name].By).Time("at", now[name].At).
				Msg("upstreams of the data centre get no new tasks")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := now[name]; !ok {
			e.settings.Logger.Info().Str("event", "data-centre-returned").Str("data-centre", name).
				Msg("upstreams of the data centre get tasks again")
		}
	}
}
