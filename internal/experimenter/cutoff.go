package experimenter

import (
	"fmt"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
)

// cutOff breaks the connections of an entry to some agents. Both sides notice it
// after a while and carry on with whom they still reach; what the entry had at
// these agents goes on running there.
func (s *system) cutOff(f *Fault) {
	e := s.entries[f.Entry]
	for _, n := range f.Agents {
		c := e.conns[n]
		s.clock.after(noticeAfter, func() { e.agentLost(c) })
		s.clock.after(noticeAfter, func() { c.agent.entryLost(c) })
		if f.Duration > 0 {
			s.clock.after(f.Duration, func() { s.reconnect(c) })
		}
	}
}

// reconnect makes a new connection in the place of one that was broken.
func (s *system) reconnect(old *conn) {
	e, a := old.entry, old.agent
	if e.dead || a.dead {
		return
	}
	c := s.newConn(e, a)
	e.conns[a.number] = c
	a.conns[e.number] = c
	s.meet(c)
	a.flush()
}

// newConn returns a connection that neither side knows of.
func (s *system) newConn(e *entryNode, a *agentNode) *conn {
	return &conn{entry: e, agent: a, toAgent: s.newLink(e.number, a.number), toEntry: s.newLink(e.number, a.number)}
}

// meet tells both sides of a connection.
func (s *system) meet(c *conn) {
	e, a := c.entry, c.agent
	e.placer.AgentUp(s.now(), agentPeer(a.number), s.place(a.number))
	a.guard.EntryUp(s.now(), entryPeer(e.number))
	a.guard.Receive(s.now(), entryPeer(e.number), &messenger.Frame{Admit: &messenger.Admit{}})
}

// place returns where an agent stands.
func (s *system) place(agent int) placer.Location {
	return placer.Location{DataCentre: fmt.Sprintf("dc-%d", agent%dataCentres)}
}
