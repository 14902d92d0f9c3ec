package coordinator

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
)

// recordTransfer is the transfer of the records of an agent that shuts down to its
// successor. When the successor has all pieces, the roster is written: the agent is
// then no longer a member, and a new owner that asks the successor for its records need
// not ask the agent. If the agent terminates earlier, its records are lost as in a
// crash.
type recordTransfer struct {
	successor       messenger.Peer
	attempt         int
	piecesForwarded int
	lastForwarded   bool // The last piece was among them.
	stored          bool // The successor has confirmed all pieces.
}

// receiveRecordTransfer forwards a piece to the successor. The first piece chooses the
// successor.
func (c *Coordinator) receiveRecordTransfer(a *agentLink, m messenger.RecordTransfer) {
	b := c.recordTransfers[a.peer]
	if m.Piece == 0 {
		b = &recordTransfer{successor: c.chooseSuccessor(a.peer), attempt: m.Attempt}
		c.recordTransfers[a.peer] = b
	}
	if b == nil || b.attempt != m.Attempt || b.piecesForwarded != m.Piece {
		return
	}
	successor := c.agents[b.successor]
	if successor == nil {
		c.refuseRecordTransfer(a.peer)
		return
	}
	b.piecesForwarded++
	b.lastForwarded = m.Last
	m.Agent = a.peer
	f := successor.pendingFrame()
	f.RecordTransfers = append(f.RecordTransfers, m)
}

// chooseSuccessor returns the member to which an agent's records are transferred, which
// must not be shutting down itself, or "" if there is none. Rendezvous hashing spreads
// the agents over successors, so that no successor receives the records of many.
func (c *Coordinator) chooseSuccessor(agent messenger.Peer) messenger.Peer {
	roster := c.registrar.Roster(c.self.Region)
	var successor messenger.Peer
	var highest uint64
	for _, peer := range c.agentOrder {
		a := c.agents[peer]
		if peer == agent || c.recordTransfers[peer] != nil || !roster.HasMember(peer) || a.capacity == nil ||
			a.capacity.State == messenger.UpstreamLeaving {
			continue
		}
		if n := xxhash.Sum64String(string(agent) + "/" + string(peer)); successor == "" || n > highest {
			successor, highest = peer, n
		}
	}
	return successor
}

// receiveRecordTransferStatus applies a successor's reply and asks the agent for the
// next piece.
func (c *Coordinator) receiveRecordTransferStatus(now time.Time, from *agentLink, m *messenger.RecordTransferStatus) {
	b := c.recordTransfers[m.Agent]
	if b == nil || b.successor != from.peer || b.attempt != m.Attempt {
		return
	}
	switch {
	case m.Refused:
		c.refuseRecordTransfer(m.Agent)
	case m.Pieces != b.piecesForwarded:
	case b.lastForwarded:
		b.stored = true
		c.propose(now)
	default:
		c.sendRecordTransferStatus(m.Agent, messenger.RecordTransferStatus{Pieces: m.Pieces})
	}
}

// refuseRecordTransfer ends a transfer that has no usable successor.
func (c *Coordinator) refuseRecordTransfer(agent messenger.Peer) {
	c.sendRecordTransferStatus(agent, messenger.RecordTransferStatus{Refused: true})
	delete(c.recordTransfers, agent)
}

// sendRecordTransferStatus tells an agent the progress of its transfer.
func (c *Coordinator) sendRecordTransferStatus(agent messenger.Peer, m messenger.RecordTransferStatus) {
	a, b := c.agents[agent], c.recordTransfers[agent]
	if a == nil || b == nil {
		return
	}
	m.Agent = agent
	m.Attempt = b.attempt
	f := a.pendingFrame()
	f.RecordTransferStatuses = append(f.RecordTransferStatuses, m)
}

// recordTransferWrite returns the roster write for a transfer whose successor has all
// pieces.
func (c *Coordinator) recordTransferWrite() (storer.Transaction, bool) {
	if len(c.recordTransfers) == 0 {
		return storer.Transaction{}, false
	}
	current := c.registrar.Roster(c.self.Region)
	for _, agent := range c.agentOrder {
		b := c.recordTransfers[agent]
		if b == nil || !b.stored {
			continue
		}
		if next, ok := enroller.TransferRecords(current.Roster, agent, b.successor); ok {
			return storer.Transaction{
				Conditions: []storer.Condition{registrar.RosterCondition(current)},
				Puts:       []storer.Put{registrar.RosterPut(c.self.Region, next)},
			}, true
		}
	}
	return storer.Transaction{}, false
}

// checkRecordTransfers tells the agents whose successors are in the roster that they
// may terminate.
func (c *Coordinator) checkRecordTransfers() {
	if len(c.recordTransfers) == 0 {
		return
	}
	roster := c.registrar.Roster(c.self.Region)
	for _, agent := range c.agentOrder {
		b := c.recordTransfers[agent]
		switch {
		case b == nil || !b.stored:
		case roster.Successor(agent) != "":
			c.sendRecordTransferStatus(agent, messenger.RecordTransferStatus{Done: true})
			delete(c.recordTransfers, agent)
		case !roster.HasMember(agent) || !roster.HasMember(b.successor):
			c.refuseRecordTransfer(agent)
		}
	}
}

// endRecordTransfers ends the transfers from and to an agent that has
// disconnected.
func (c *Coordinator) endRecordTransfers(peer messenger.Peer) {
	delete(c.recordTransfers, peer)
	for _, agent := range slices.Clone(c.agentOrder) {
		if b := c.recordTransfers[agent]; b != nil && b.successor == peer {
			c.refuseRecordTransfer(agent)
		}
	}
}
