package coordinator

import "sardinelock.dev/sardinelock/internal/owner"

// Owner returns the owner of the jobs, so that simulations can replace its rules.
func (c *Coordinator) Owner() *owner.Owner { return c.owner }
