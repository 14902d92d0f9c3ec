// Package creditor says how many tasks each entry may have outstanding at an
// agent.
//
// The limit of an entry is what the other entries leave of the slots, at least a
// floor, and a depth: the starts that may wait at the agent for a slot. An entry
// learns its limit with the messages that go to it anyway, so limits make no
// messages of their own, and every result tells how busy the agent is. An entry may
// let a few tasks of very large jobs wait beyond its limit; they yield to others.
//
// While the entries' knowledge is up to date, together they start at most as many
// tasks as there are slots, and the depth of each waits. Where two entries take
// the same free slot at the same moment, one task waits at the agent for the next
// slot. The upstream never runs more tasks than it has slots: the guard sees to
// that. What an entry that is gone has outstanding counts until it ends; its limit
// is the others' at once.
package creditor

import "sardinelock.dev/sardinelock/internal/messenger"

// Limits are the settings of a creditor. A field that is zero takes the value of
// [DefaultLimits].
type Limits struct {
	// Floor is the least number of slots that an entry may count on.
	MinSlots int
	// Depth is how many starts of an entry may wait for a slot.
	QueueDepth int
}

// DefaultLimits returns the settings that suit most deployments.
func DefaultLimits() Limits { return Limits{MinSlots: 1, QueueDepth: 8} }

// Grant is a limit that an entry has not been told.
type Grant struct {
	Entry messenger.Peer
	Limit int
}

// Creditor is the state of one agent's division.
type Creditor struct {
	limits        Limits
	slots         int
	shares        []*share // shares has the connected entries in order of arrival.
	departedTasks int      // orphans counts the tasks of entries that are gone.
	grants        []Grant
}

// share is what one entry has of the slots.
type share struct {
	entry       messenger.Peer
	outstanding int // outstanding counts the tasks that run or wait for the entry.
	sentLimit   int // told is the limit that the entry knows; -1 if none.
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

// SetSlots sets the number of slots that are divided.
func (c *Creditor) SetSlots(n int) { c.slots = n }

// EntryUp adds an entry.
func (c *Creditor) EntryUp(entry messenger.Peer) {
	c.EntryDown(entry)
	c.shares = append(c.shares, &share{entry: entry, sentLimit: -1})
}

// EntryDown removes an entry. The tasks that it has running keep their slots
// until they end.
func (c *Creditor) EntryDown(entry messenger.Peer) {
	for i, s := range c.shares {
		if s.entry == entry {
			c.departedTasks += s.outstanding
			c.shares = append(c.shares[:i], c.shares[i+1:]...)
			return
		}
	}
}

// Started counts a task that an entry has outstanding.
func (c *Creditor) Started(entry messenger.Peer) {
	if s := c.share(entry); s != nil {
		s.outstanding++
		return
	}
	c.departedTasks++
}

// Ended counts the end of a task. The empty entry stands for one that is gone.
func (c *Creditor) Ended(entry messenger.Peer) {
	if s := c.share(entry); s != nil && s.outstanding > 0 {
		s.outstanding--
		return
	}
	c.departedTasks = max(0, c.departedTasks-1)
}

// Told records that an entry was sent its limit.
func (c *Creditor) GrantSent(g Grant) { c.share(g.Entry).sentLimit = g.Limit }

// Divide returns the limits that entries do not know. What it returns is valid
// until the next call.
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

// limit returns the limit of an entry whose peers have tasks outstanding.
func (c *Creditor) limit(others int) int {
	if c.slots == 0 {
		return 0
	}
	return max(c.limits.MinSlots, c.slots-others) + c.limits.QueueDepth
}

// Outstanding returns the tasks at the agent, those of absent entries included.
func (c *Creditor) Outstanding() int {
	n := c.departedTasks
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
