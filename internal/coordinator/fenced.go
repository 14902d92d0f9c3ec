package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// receiveFenced applies the records of an agent that has answered a fence.
func (c *Coordinator) receiveFenced(now time.Time, from messenger.Peer, fenced []messenger.Fenced) {
	for _, f := range fenced {
		if _, epoch := c.leaser.Owner(f.Partition); f.Epoch != epoch || !c.leaser.Owns(f.Partition) {
			continue
		}
		for _, r := range f.Records {
			c.owner.Recover(now, from, r)
		}
		c.owner.Reconciled(now, from, f.Partition)
	}
}
