package experimenter

import (
	"fmt"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
)

// partition breaks the connections of an entry to some agents. Both sides detect this
// after disconnectDelay and continue with their other peers. Tasks of the entry that
// run at these agents continue there.
func (s *system) partition(f *Fault) {
	e := s.entries[f.Entry]
	for _, n := range f.Agents {
		c := e.conns[n]
		s.clock.after(disconnectDelay, func() { e.connectionClosed(c) })
		s.clock.after(disconnectDelay, func() { c.agent.connectionClosed(c) })
		if f.Duration > 0 {
			s.clock.after(f.Duration, func() { s.reconnect(c) })
		}
	}
}

// reconnect replaces a broken connection by a new one.
func (s *system) reconnect(old *conn) {
	e, a := old.entry, old.agent
	if e.crashed || a.crashed {
		return
	}
	c := s.newConn(e, a)
	e.conns[a.number] = c
	a.conns[e.number] = c
	s.connected(c)
	a.flush()
}

// newConn returns a connection without notifying either side.
func (s *system) newConn(e *entryNode, a *agentNode) *conn {
	return &conn{entry: e, agent: a, toAgent: s.newLink(e.number, a.number), toEntry: s.newLink(e.number, a.number)}
}

// connected notifies both sides of a new connection.
func (s *system) connected(c *conn) {
	e, a := c.entry, c.agent
	e.placer.AgentUp(s.now(), agentPeer(a.number), s.location(a.number))
	a.guard.EntryUp(s.now(), entryPeer(e.number))
	a.guard.Receive(s.now(), entryPeer(e.number), &messenger.Frame{Admit: &messenger.Admit{}})
}

// location returns the location of an agent.
func (s *system) location(agent int) placer.Location {
	return placer.Location{DataCentre: fmt.Sprintf("dc-%d", agent%dataCentres)}
}
