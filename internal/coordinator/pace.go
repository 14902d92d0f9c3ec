package coordinator

import "time"

const (
	// rosterCheckEvery is the period at which the roster is compared with the agents
	// while neither agents come or go nor rows change. The comparison takes time and
	// garbage in proportion to the agents; what waits for it takes seconds. The value
	// is chosen.
	rosterCheckEvery = time.Second
	// ownersCheckEvery is the period at which owners are compared with the entries
	// that live, while neither rows nor connections change. It delays what only the
	// passing of time brings about, such as a suspicion, which takes much longer; the
	// value is chosen.
	ownersCheckEvery = 50 * time.Millisecond
)

// pace spaces out a check that finds nothing most of the time. The zero value is due.
type pace struct {
	checked time.Time // checked is when nothing was found to do; zero after a change.
}

// due reports whether the check is to be made now.
func (p *pace) due(now time.Time, every time.Duration) bool {
	return p.checked.IsZero() || now.Sub(p.checked) >= every
}

// passed records that the check found nothing to do.
func (p *pace) passed(now time.Time) { p.checked = now }

// changed makes the check due at once.
func (p *pace) changed() { p.checked = time.Time{} }
