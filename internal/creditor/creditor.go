// Package creditor divides the slots of one agent between the entries that are
// connected to it.
//
// Each entry has a limit: the number of tasks that it may have outstanding at the
// agent. Free slots go first to entries with a backlog, and what is left is spread
// as spare over all, so that an entry may start a task without asking. The sum of
// the limits that entries were told is at most the number of slots, but for two
// cases: an entry with a backlog is lent the slots that others leave unused, and
// every entry keeps a floor. A task that finds no slot because of either waits at
// the agent for the next one; the upstream never runs more tasks than it has
// slots. A lower limit is told with the next message that goes to the entry
// anyway; only a higher one for an entry with a backlog makes a message.
package creditor

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a creditor. A field that is zero takes the value of
// [DefaultLimits].
type Limits struct {
	// Floor is the least limit of an entry.
	Floor int
	// BacklogFor is how long the last report of a backlog counts.
	BacklogFor time.Duration
}

// DefaultLimits returns the settings that suit most deployments.
func DefaultLimits() Limits {
	return Limits{Floor: 1, BacklogFor: 250 * time.Millisecond}
}

// Grant is a limit that an entry has not been told.
type Grant struct {
	Entry messenger.Peer
	Limit int
	// Urgent means that the entry waits for the grant and can use it at once.
	Urgent bool
}

// Creditor is the state of one agent's division.
type Creditor struct {
	limits  Limits
	slots   int
	shares  []*share // shares has the connected entries in order of arrival.
	orphans int      // orphans counts the tasks of entries that are gone.
	turn    int      // turn rotates who gets the odd slot.
	grants  []Grant
}

// share is what one entry has of the slots.
type share struct {
	entry       messenger.Peer
	outstanding int
	backlog     int
	reported    time.Time // reported is when the backlog was reported.
	told        int       // told is the limit that the entry knows; -1 if none.
	limit       int
	spare       int // spare is what the running division gives beyond outstanding.
}

// New returns a creditor without slots.
func New(limits Limits) *Creditor {
	d := DefaultLimits()
	if limits.Floor == 0 {
		limits.Floor = d.Floor
	}
	if limits.BacklogFor == 0 {
		limits.BacklogFor = d.BacklogFor
	}
	return &Creditor{limits: limits}
}

// SetSlots sets the number of slots that are divided.
func (c *Creditor) SetSlots(n int) { c.slots = n }

// EntryUp adds an entry.
func (c *Creditor) EntryUp(entry messenger.Peer) {
	c.EntryDown(entry)
	c.shares = append(c.shares, &share{entry: entry, told: -1})
}

// EntryDown removes an entry. Its credits are free at once; the tasks that it has
// running keep their slots until they end.
func (c *Creditor) EntryDown(entry messenger.Peer) {
	for i, s := range c.shares {
		if s.entry == entry {
			c.orphans += s.outstanding
			c.shares = append(c.shares[:i], c.shares[i+1:]...)
			return
		}
	}
}

// Backlog applies an entry's report of the tasks that it would start here now.
func (c *Creditor) Backlog(now time.Time, entry messenger.Peer, tasks int) {
	if s := c.share(entry); s != nil {
		s.backlog = tasks
		s.reported = now
	}
}

// Started counts a task that an entry has outstanding.
func (c *Creditor) Started(entry messenger.Peer) {
	if s := c.share(entry); s != nil {
		s.outstanding++
		return
	}
	c.orphans++
}

// Ended counts the end of a task. The empty entry stands for one that is gone.
func (c *Creditor) Ended(entry messenger.Peer) {
	if s := c.share(entry); s != nil && s.outstanding > 0 {
		s.outstanding--
		return
	}
	c.orphans = max(0, c.orphans-1)
}

// Told records that an entry was sent its limit.
func (c *Creditor) Told(entry messenger.Peer) {
	s := c.share(entry)
	s.backlog = max(0, s.backlog-max(0, s.limit-s.told))
	s.told = s.limit
}

// Divide computes the limits and returns those that entries do not know. What it
// returns is valid until the next call.
func (c *Creditor) Divide(now time.Time) []Grant {
	free := c.slots - c.orphans
	for _, s := range c.shares {
		s.spare = 0
		free -= s.outstanding
		if now.Sub(s.reported) > c.limits.BacklogFor {
			s.backlog = 0
		}
	}
	free = c.giveBacklogs(free)
	c.giveSpare(free)
	c.grants = c.grants[:0]
	for _, s := range c.shares {
		c.setLimit(s)
		if s.limit != s.told {
			urgent := s.backlog > 0 && s.limit > s.told && s.limit > s.outstanding
			c.grants = append(c.grants, Grant{Entry: s.entry, Limit: s.limit, Urgent: urgent})
		}
	}
	return c.grants
}

// Outstanding returns the tasks at the agent, those of absent entries included.
func (c *Creditor) Outstanding() int {
	n := c.orphans
	for _, s := range c.shares {
		n += s.outstanding
	}
	return n
}

// giveBacklogs gives free slots to the entries with a backlog, each time to the
// one that holds least, and returns what is left.
func (c *Creditor) giveBacklogs(free int) int {
	for ; free > 0; free-- {
		var best *share
		for _, s := range c.shares {
			if s.spare < s.backlog && (best == nil || s.outstanding+s.spare < best.outstanding+best.spare) {
				best = s
			}
		}
		if best == nil {
			return free
		}
		best.spare++
	}
	return 0
}

// giveSpare spreads free slots evenly.
func (c *Creditor) giveSpare(free int) {
	if len(c.shares) == 0 || free <= 0 {
		return
	}
	even, odd := free/len(c.shares), free%len(c.shares)
	for i, s := range c.shares {
		s.spare += even
		if (i+c.turn)%len(c.shares) < odd {
			s.spare++
		}
	}
}

// setLimit sets the limit of an entry. Without a backlog it rises only into slots
// that no other entry was told it may use.
func (c *Creditor) setLimit(s *share) {
	limit := s.outstanding + s.spare
	if s.backlog == 0 && limit > s.told && s.told >= 0 {
		limit = max(s.told, min(limit, c.unclaimed(s)))
	}
	if c.slots == 0 {
		s.limit = 0
		return
	}
	s.limit = min(c.slots, max(limit, c.limits.Floor))
}

// unclaimed returns the slots that no other entry has or was told it may use.
func (c *Creditor) unclaimed(s *share) int {
	n := c.slots - c.orphans
	for _, o := range c.shares {
		if o != s {
			n -= max(o.told, o.outstanding)
		}
	}
	return n
}

func (c *Creditor) share(entry messenger.Peer) *share {
	for _, s := range c.shares {
		if s.entry == entry {
			return s
		}
	}
	return nil
}
