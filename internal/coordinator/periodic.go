package coordinator

import "time"

const (
	// rosterCheckInterval is the interval at which the roster is compared with the
	// agents while no agent connects or disconnects and no row changes. The comparison
	// costs time and garbage in proportion to the number of agents, and what depends on
	// it takes seconds anyway.
	rosterCheckInterval = time.Second
	// ownersCheckInterval is the interval at which owners are compared with the live
	// entries while no row or connection changes. It delays only effects of passing
	// time, such as a suspicion, whose timeout is much longer.
	ownersCheckInterval = 50 * time.Millisecond
)

// periodicCheck limits how often a check runs that usually finds nothing to do. The
// zero value is due at once.
type periodicCheck struct {
	cleanSince time.Time // When the check last found nothing to do; zero after a change.
}

// due reports whether the check should run now.
func (p *periodicCheck) due(now time.Time, interval time.Duration) bool {
	return p.cleanSince.IsZero() || now.Sub(p.cleanSince) >= interval
}

// recordClean records that the check found nothing to do.
func (p *periodicCheck) recordClean(now time.Time) { p.cleanSince = now }

// trigger makes the check due at once.
func (p *periodicCheck) trigger() { p.cleanSince = time.Time{} }
