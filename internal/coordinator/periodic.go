package coordinator

import "time"

const (
	// rosterCheckEvery is the period at which the roster is compared with the agents
	// while neither agents come or go nor rows change. The comparison takes time and
	// garbage in proportion to the agents; what waits for it takes seconds. The value
	// is chosen.
	rosterCheckInterval = time.Second
	// ownersCheckEvery is the period at which owners are compared with the entries
	// that live, while neither rows nor connections change. It delays what only the
	// passing of time brings about, such as a suspicion, which takes much longer; the
	// value is chosen.
	ownersCheckInterval = 50 * time.Millisecond
)

// pace spaces out a check that finds nothing most of the time. The zero value is due.
type periodicCheck struct {
	cleanSince time.Time // checked is when nothing was found to do; zero after a change.
}

// due reports whether the check is to be made now.
func (p *periodicCheck) due(now time.Time, every time.Duration) bool {
	return p.cleanSince.IsZero() || now.Sub(p.cleanSince) >= every
}

// passed records that the check found nothing to do.
func (p *periodicCheck) recordClean(now time.Time) { p.cleanSince = now }

// changed makes the check due at once.
func (p *periodicCheck) trigger() { p.cleanSince = time.Time{} }
