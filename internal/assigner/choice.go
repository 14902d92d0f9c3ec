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

// chosen is the result of a choice.
type chosen struct {
	agent *agent        // agent is nil if the task is not launched now.
	wait  time.Duration // wait is how long the task is expected to wait at the agent.
	// deferred reports that a task without an agent could be launched, but can be in time only at an upstream that
	// is still occupied for longer.
	deferred bool
}

// result returns the agent for a task with the given latest start.
func (c *choice) result(now, latestStart time.Duration) chosen {
	p := c.best
	if p.agent == nil {
		p = c.waiting
	}
	if p.agent != nil && c.occupied > 0 && c.occupiedCost < p.cost && now+p.cost > latestStart && now+c.occupiedCost <= latestStart {
		return chosen{deferred: true}
	}
	return chosen{agent: p.agent, wait: p.wait}
}
