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
type bequest struct {
	heir    messenger.Peer
	attempt int
	pieces  int  // pieces is the number of pieces that were passed on.
	last    bool // last means that the last piece was passed on.
	stored  bool // stored means that the heir has all.
}

// receiveBequest passes a piece on. The first one chooses the heir.
func (c *Coordinator) receiveBequest(a *agentLink, m messenger.RecordTransfer) {
	b := c.bequests[a.peer]
	if m.Piece == 0 {
		b = &bequest{heir: c.chooseHeir(a.peer), attempt: m.Attempt}
		c.bequests[a.peer] = b
	}
	if b == nil || b.attempt != m.Attempt || b.pieces != m.Piece {
		return
	}
	heir := c.agents[b.heir]
	if heir == nil {
		c.refuseBequest(a.peer)
		return
	}
	b.pieces++
	b.last = m.Last
	m.Agent = a.peer
	f := heir.gather()
	f.RecordTransfers = append(f.RecordTransfers, m)
}

// chooseHeir returns the member that an agent's records go to; empty if there is none.
// It is one that does not leave, and another for each agent, so that no heir gets the
// records of many.
func (c *Coordinator) chooseHeir(agent messenger.Peer) messenger.Peer {
	roster := c.registrar.Roster(c.self.Region)
	var heir messenger.Peer
	var most uint64
	for _, peer := range c.agentOrder {
		a := c.agents[peer]
		if peer == agent || c.bequests[peer] != nil || !roster.HasMember(peer) || a.capacity == nil ||
			a.capacity.State == messenger.UpstreamLeaving {
			continue
		}
		if n := xxhash.Sum64String(string(agent) + "/" + string(peer)); heir == "" || n > most {
			heir, most = peer, n
		}
	}
	return heir
}

// receiveBequeathed applies what an heir says, and asks the agent for the next piece.
func (c *Coordinator) receiveBequeathed(now time.Time, from *agentLink, m *messenger.RecordTransferStatus) {
	b := c.bequests[m.Agent]
	if b == nil || b.heir != from.peer || b.attempt != m.Attempt {
		return
	}
	switch {
	case m.Refused:
		c.refuseBequest(m.Agent)
	case m.Pieces != b.pieces:
	case b.last:
		b.stored = true
		c.propose(now)
	default:
		c.answerBequest(m.Agent, messenger.RecordTransferStatus{Pieces: m.Pieces})
	}
}

// refuseBequest ends a bequest without an heir.
func (c *Coordinator) refuseBequest(agent messenger.Peer) {
	c.answerBequest(agent, messenger.RecordTransferStatus{Refused: true})
	delete(c.bequests, agent)
}

// answerBequest tells an agent how far its bequest has come.
func (c *Coordinator) answerBequest(agent messenger.Peer, m messenger.RecordTransferStatus) {
	a, b := c.agents[agent], c.bequests[agent]
	if a == nil || b == nil {
		return
	}
	m.Agent = agent
	m.Attempt = b.attempt
	f := a.gather()
	f.RecordTransferStatuses = append(f.RecordTransferStatuses, m)
}

// bequestWrite returns the write of the roster for a bequest whose heir has all.
func (c *Coordinator) bequestWrite() (storer.Transaction, bool) {
	if len(c.bequests) == 0 {
		return storer.Transaction{}, false
	}
	current := c.registrar.Roster(c.self.Region)
	for _, agent := range c.agentOrder {
		b := c.bequests[agent]
		if b == nil || !b.stored {
			continue
		}
		if next, ok := enroller.TransferRecords(current.Roster, agent, b.heir); ok {
			return storer.Transaction{
				Conditions: []storer.Condition{registrar.RosterCondition(current)},
				Puts:       []storer.Put{registrar.RosterPut(c.self.Region, next)},
			}, true
		}
	}
	return storer.Transaction{}, false
}

// checkBequests tells the agents whose heirs are in the roster that they may end.
func (c *Coordinator) checkBequests() {
	if len(c.bequests) == 0 {
		return
	}
	roster := c.registrar.Roster(c.self.Region)
	for _, agent := range c.agentOrder {
		b := c.bequests[agent]
		switch {
		case b == nil || !b.stored:
		case roster.Successor(agent) != "":
			c.answerBequest(agent, messenger.RecordTransferStatus{Done: true})
			delete(c.bequests, agent)
		case !roster.HasMember(agent) || !roster.HasMember(b.heir):
			c.refuseBequest(agent)
		}
	}
}

// bequestsAgentDown ends the bequest of an agent that is gone, and those to it.
func (c *Coordinator) bequestsAgentDown(peer messenger.Peer) {
	delete(c.bequests, peer)
	for _, agent := range slices.Clone(c.agentOrder) {
		if b := c.bequests[agent]; b != nil && b.heir == peer {
			c.refuseBequest(agent)
		}
	}
}
