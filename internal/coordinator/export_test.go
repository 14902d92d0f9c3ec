package coordinator

import "sardinelock.dev/sardinelock/internal/owner"

// Owner returns the owner of the jobs, whose rules the fuzz replaces.
func (c *Coordinator) Owner() *owner.Owner { return c.owner }
