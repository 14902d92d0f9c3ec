package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// entryLink is the state of a connected entry.
type entryLink struct {
	peer           messenger.Peer
	region         string
	pending        *messenger.Frame
	connectedAt    time.Time
	lastReceivedAt time.Time
}

// pendingFrame returns the frame for the entry that the next Take sends, creating it if
// there is none.
func (e *entryLink) pendingFrame() *messenger.Frame {
	if e.pending == nil {
		e.pending = &messenger.Frame{}
	}
	return e.pending
}

func (c *Coordinator) entryUp(now time.Time, h messenger.Hello) {
	c.entries[h.Peer] = &entryLink{peer: h.Peer, region: h.Region, connectedAt: now, lastReceivedAt: now}
	c.entryOrder = insertPeer(c.entryOrder, h.Peer)
	c.ownersCheck.trigger()
	c.routeRequests(now)
}

func (c *Coordinator) entryDown(now time.Time, peer messenger.Peer) {
	delete(c.entries, peer)
	c.ownersCheck.trigger()
	c.unreachableSince[peer] = now
	c.entryOrder = removePeer(c.entryOrder, peer)
	c.requests.entryDown(peer)
	c.handoverPeerDown(now, peer)
}

func (c *Coordinator) receiveEntry(now time.Time, e *entryLink, f *messenger.Frame) {
	e.lastReceivedAt = now
	if f.Routes != nil {
		c.registrar.Hint(now, f.Routes.Revision)
	}
	if f.Handover != nil {
		c.receiveHandover(now, e, f.Handover)
	}
	for i := range f.Forwards {
		c.receiveForward(now, e, &f.Forwards[i])
	}
	for i := range f.Answers {
		c.receiveAnswer(&f.Answers[i])
	}
	for _, m := range f.Moved {
		c.requests.returned(now, m.Ticket)
	}
}

// pingEntries sends the other entries a heartbeat with the table revision that this
// entry has seen.
func (c *Coordinator) pingEntries(now time.Time) {
	if now.Sub(c.entriesPingedAt) < c.limits.EntryHeartbeatInterval {
		return
	}
	c.entriesPingedAt = now
	c.announceRevision()
}

func (c *Coordinator) announceRevision() {
	for _, peer := range c.entryOrder {
		c.entries[peer].pendingFrame().Routes = &messenger.Routes{Revision: c.registrar.Revision()}
	}
}

// beginEvent records the time of an event. After a pause of this process, frames from
// other entries may be waiting unread, so the time without contact until now is no sign
// of a failure and is not counted.
func (c *Coordinator) beginEvent(now time.Time) {
	paused := !c.now.IsZero() && now.Sub(c.now) >= c.limits.SuspicionTimeout/2
	c.now = now
	if !paused {
		return
	}
	for _, e := range c.entries {
		e.lastReceivedAt = now
	}
	for peer := range c.unreachableSince {
		c.unreachableSince[peer] = now
	}
}

// responsive reports whether an entry is connected and has sent a frame within the
// suspicion timeout.
func (c *Coordinator) responsive(now time.Time, peer messenger.Peer) bool {
	e := c.entries[peer]
	return e != nil && now.Sub(e.lastReceivedAt) < c.limits.SuspicionTimeout
}

// suspected reports whether an entry has been unreachable for the suspicion timeout, so
// that its partitions should get another owner.
func (c *Coordinator) suspected(now time.Time, peer messenger.Peer) bool {
	if peer == c.self.Peer || c.responsive(now, peer) {
		return false
	}
	since := c.started
	if at, ok := c.unreachableSince[peer]; ok && at.After(since) {
		since = at
	}
	if e := c.entries[peer]; e != nil {
		since = e.lastReceivedAt
	}
	return now.Sub(since) >= c.limits.SuspicionTimeout
}

// liveEntries returns the entries of this region that may own partitions, including
// this one unless it is draining.
func (c *Coordinator) liveEntries(now time.Time) []messenger.Peer {
	var out []messenger.Peer
	for _, row := range c.registrar.Entries() {
		if row.Region != c.self.Region || row.Draining || row.Peer == c.self.Peer {
			continue
		}
		if c.responsive(now, row.Peer) {
			out = append(out, row.Peer)
		}
	}
	if !c.draining {
		out = append(out, c.self.Peer)
	}
	slices.Sort(out)
	return out
}

// regionSize returns the number of entries of this region that accept jobs.
func (c *Coordinator) regionSize() int {
	n := 0
	for _, e := range c.registrar.Entries() {
		if e.Region == c.self.Region && !e.Draining {
			n++
		}
	}
	return n
}

// Entries returns where every known entry accepts peers.
func (c *Coordinator) Entries() []messenger.EntryAddr {
	var out []messenger.EntryAddr
	for _, e := range c.registrar.Entries() {
		out = append(out, messenger.EntryAddr{Peer: e.Peer, Addr: e.PeerAddr})
	}
	return out
}

// regionEntries returns where the entries of this region accept agents.
func (c *Coordinator) regionEntries() []messenger.EntryAddr {
	var out []messenger.EntryAddr
	for _, e := range c.registrar.Entries() {
		if e.Region == c.self.Region {
			out = append(out, messenger.EntryAddr{Peer: e.Peer, Addr: e.PeerAddr})
		}
	}
	return out
}

func (c *Coordinator) flushEntries() {
	for _, peer := range c.entryOrder {
		e := c.entries[peer]
		if e.pending == nil {
			continue
		}
		c.out.Sends = append(c.out.Sends, Send{To: peer, Frame: e.pending})
		e.pending = nil
	}
}
