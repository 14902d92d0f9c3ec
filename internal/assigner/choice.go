package assigner

import "time"

// placement is an upstream at which a task may run.
type placement struct {
	agent *agent
	cost  time.Duration // cost includes the wait.
	wait  time.Duration // wait is how long the task is expected to wait there.
}

// choice is the choice of an upstream for a task.
type choice struct {
	maxWait        time.Duration // maxWait is the longest wait at an occupied upstream.
	free, occupied int           // free and occupied count the candidates with and without free capacity.
	// best is the candidate with free capacity that has the least key, which is bestKey. waiting is the
	// occupied one with the least cost at which the task may wait. Their agents are nil if there is none.
	best, waiting placement
	bestKey       time.Duration
	// occupiedCost is the least cost of an occupied upstream, if there is any.
	occupiedCost time.Duration
}

func (c *choice) addFree(x placement, key time.Duration) {
	c.free++
	if c.best.agent == nil || key < c.bestKey {
		c.best, c.bestKey = x, key
	}
}

func (c *choice) addOccupied(x placement) {
	c.occupied++
	if c.occupied == 1 || x.cost < c.occupiedCost {
		c.occupiedCost = x.cost
	}
	if x.wait <= c.maxWait && (c.waiting.agent == nil || x.cost < c.waiting.cost) {
		c.waiting = x
	}
}

// result returns the agent for a task with the given latest start, or nil, and the expected wait there.
func (c *choice) result(now, latestStart time.Duration) (*agent, time.Duration) {
	chosen := c.best
	if chosen.agent == nil {
		chosen = c.waiting
	}
	if c.occupied > 0 && c.occupiedCost < chosen.cost && now+chosen.cost > latestStart && now+c.occupiedCost <= latestStart {
		// The task can be in time only at an upstream that is still occupied for longer.
		return nil, 0
	}
	return chosen.agent, chosen.wait
}
