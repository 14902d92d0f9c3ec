package dispatcher

import (
	"context"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/placer"
)

// holdsPollInterval is the interval at which the holds are read. They are also read when
// another entry reports a change.
const holdsPollInterval = 5 * time.Second

// holds records which version of the operators' holds was applied last.
type holds struct {
	mu       sync.Mutex
	revision uint64 // revision is the revision of the table at that read.
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
	drained := h.Entries[e.settings.Peer]
	e.drained.Store(drained)
	e.loop.Post(func(now time.Time) {
		e.coordinator.SetHolds(placer.Holds{Upstreams: h.Upstreams})
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
