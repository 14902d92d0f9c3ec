package dispatcher

import (
	"context"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
)

// holdsPollEvery is the period at which the holds are read, besides the times
// at which another entry says that they have changed.
const holdsPollInterval = 5 * time.Second

// holds says which state of the holds is applied.
type holds struct {
	mu       sync.Mutex
	revision uint64 // revision is that of the table when the holds were read.
}

// readHolds reads the operators' holds and applies them. While the platform is
// down the former ones stay in force.
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
		e.coordinator.SetHolds(h.Upstreams)
		e.applyDrained(now, drained)
	})
	return nil
}

// applyDrained hands the partitions over while an operator drains the entry. An
// entry that shuts down takes none back. It runs on the control thread.
func (e *Entry) applyDrained(now time.Time, drained bool) {
	switch {
	case drained:
		e.coordinator.Drain(now)
	case !e.stopping.Load():
		e.coordinator.Undrain(now)
	}
}
