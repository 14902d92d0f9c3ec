// Package creditor divides an agent's slots among the entries: it decides how many tasks
// each entry may have outstanding at the agent.
//
// The limit of an entry is the number of slots that the other entries do not use, at
// least MinSlots, plus QueueDepth for starts that may wait at the agent for a slot.
// Limits travel in messages that are sent to the entry anyway, so they cause no messages
// of their own, and every result tells the entry how busy the agent is. An entry may let
// a few tasks of bulk jobs wait beyond its limit; they yield to other tasks.
//
// While the entries' limits are up to date, all entries together start at most as many
// tasks as there are slots, and up to QueueDepth starts of each entry wait. If two
// entries use the same free slot simultaneously, one task waits at the agent for the next
// slot. The guard ensures that the upstream never runs more tasks than it has slots. The
// outstanding tasks of a disconnected entry count until they end; the rest of its limit
// is available to the others immediately.
package creditor

import "sardinelock.dev/sardinelock/internal/messenger"

// Limits are the settings of a creditor. A field that is zero takes the value of
// [DefaultLimits].
type Limits struct {
	// MinSlots is the least number of slots in an entry's limit.
	MinSlots int
	// QueueDepth is the number of starts of an entry that may wait for a slot.
	QueueDepth int
}

// DefaultLimits returns the settings that suit most deployments.
func DefaultLimits() Limits { return Limits{MinSlots: 1, QueueDepth: 8} }

// Grant is a limit that has to be sent to an entry.
type Grant struct {
	Entry messenger.Peer
	Limit int
}

// Creditor holds the division of one agent's slots.
type Creditor struct {
	limits            Limits
	slots             int
	shares            []*share // the connected entries in order of arrival
	disconnectedTasks int      // number of outstanding tasks of disconnected entries
	grants            []Grant
}

// share is the part of one entry in the division.
type share struct {
	entry       messenger.Peer
	outstanding int // number of the entry's tasks that run or wait
	sentLimit   int // the latest limit sent to the entry; -1 if none was
}

// New returns a creditor without slots.
func New(limits Limits) *Creditor {
	d := DefaultLimits()
	if limits.MinSlots == 0 {
		limits.MinSlots = d.MinSlots
	}
	if limits.QueueDepth == 0 {
		limits.QueueDepth = d.QueueDepth
	}
	return &Creditor{limits: limits}
}

// SetSlots sets the number of slots to divide.
func (c *Creditor) SetSlots(n int) { c.slots = n }

// EntryUp adds an entry.
func (c *Creditor) EntryUp(entry messenger.Peer) {
	c.EntryDown(entry)
	c.shares = append(c.shares, &share{entry: entry, sentLimit: -1})
}

// EntryDown removes an entry. Its outstanding tasks count until they end.
func (c *Creditor) EntryDown(entry messenger.Peer) {
	for i, s := range c.shares {
		if s.entry == entry {
			c.disconnectedTasks += s.outstanding
			c.shares = append(c.shares[:i], c.shares[i+1:]...)
			return
		}
	}
}

// Started counts a new outstanding task of an entry.
func (c *Creditor) Started(entry messenger.Peer) {
	if s := c.share(entry); s != nil {
		s.outstanding++
		return
	}
	c.disconnectedTasks++
}

// Ended counts the end of a task. An empty entry stands for a disconnected one.
func (c *Creditor) Ended(entry messenger.Peer) {
	if s := c.share(entry); s != nil && s.outstanding > 0 {
		s.outstanding--
		return
	}
	c.disconnectedTasks = max(0, c.disconnectedTasks-1)
}

// GrantSent records that a grant was sent to its entry.
func (c *Creditor) GrantSent(g Grant) { c.share(g.Entry).sentLimit = g.Limit }

// PendingGrants returns the limits that have changed since they were last sent. The
// returned slice is valid until the next call.
func (c *Creditor) PendingGrants() []Grant {
	used := c.Outstanding()
	c.grants = c.grants[:0]
	for _, s := range c.shares {
		if limit := c.limit(used - s.outstanding); limit != s.sentLimit {
			c.grants = append(c.grants, Grant{Entry: s.entry, Limit: limit})
		}
	}
	return c.grants
}

// limit returns the limit of an entry while the other entries have the given number of
// tasks outstanding.
func (c *Creditor) limit(others int) int {
	if c.slots == 0 {
		return 0
	}
	return max(c.limits.MinSlots, c.slots-others) + c.limits.QueueDepth
}

// Outstanding returns the number of tasks at the agent, including those of disconnected
// entries.
func (c *Creditor) Outstanding() int {
	n := c.disconnectedTasks
	for _, s := range c.shares {
		n += s.outstanding
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
