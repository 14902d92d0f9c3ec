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

// bequest is the passing of the records of an agent that leaves to its heir. When the
// heir has all pieces, the roster is written: the agent is no member any more, and who
// asks the heir needs not ask it. An agent that ends before that takes its records along,
// as one that dies does.
type recordTransfer struct {
	successor       messenger.Peer
	attempt         int
	piecesForwarded int  // pieces is the number of pieces that were passed on.
	lastForwarded   bool // last means that the last piece was passed on.
	stored          bool // stored means that the heir has all.
}

// receiveBequest passes a piece on. The first one chooses the heir.
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

// chooseHeir returns the member that an agent's records go to; empty if there is none.
// It is one that does not leave, and another for each agent, so that no heir gets the
// records of many.
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

// receiveBequeathed applies what an heir says, and asks the agent for the next piece.
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

// refuseBequest ends a bequest without an heir.
func (c *Coordinator) refuseRecordTransfer(agent messenger.Peer) {
	c.sendRecordTransferStatus(agent, messenger.RecordTransferStatus{Refused: true})
	delete(c.recordTransfers, agent)
}

// answerBequest tells an agent how far its bequest has come.
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

// bequestWrite returns the write of the roster for a bequest whose heir has all.
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

// checkBequests tells the agents whose heirs are in the roster that they may end.
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

// bequestsAgentDown ends the bequest of an agent that is gone, and those to it.
func (c *Coordinator) recordTransfersAgentDown(peer messenger.Peer) {
	delete(c.recordTransfers, peer)
	for _, agent := range slices.Clone(c.agentOrder) {
		if b := c.recordTransfers[agent]; b != nil && b.successor == peer {
			c.refuseRecordTransfer(agent)
		}
	}
}
