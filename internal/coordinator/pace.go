package coordinator

import "time"

// rosterCheckEvery is the period at which the roster is compared with the agents
// while none comes or goes. The comparison takes time in proportion to the agents.
const rosterCheckEvery = 250 * time.Millisecond

// rosterDue reports whether the roster is to be compared with the agents now.
func (c *Coordinator) rosterDue(now time.Time) bool {
	return c.rosterChecked.IsZero() || now.Sub(c.rosterChecked) >= rosterCheckEvery
}
