package broker

import (
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/cataloguer"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

func (b *Broker) hello() messenger.Hello {
	return messenger.Hello{
		Version:       messenger.ProtocolVersion,
		Peer:          b.peer,
		Role:          messenger.RoleEntry,
		Region:        b.settings.Region,
		DataCentre:    b.settings.DataCentre,
		Instance:      b.settings.Instance,
		PeerAddr:      b.settings.PeerAnnounce,
		ConfigVersion: b.version(),
	}
}

func (b *Broker) version() uint64 {
	if c := b.catalogue.InForce(); c != nil {
		return c.Version
	}
	return 0
}

// addConn registers a connection and reports whether it was accepted. It must be called
// on the control thread.
func (b *Broker) addConn(now time.Time, c *connector.Conn) bool {
	h := c.Hello()
	switch h.Role {
	case messenger.RoleAgent:
		b.evacuations.recipients.Add(c)
		b.newAgents[c] = now
		c.Send(routesFrame(b.directory.list(b.settings.PeerAnnounce, b.links.Addresses())))
	case messenger.RoleEntry:
		if h.Peer == b.peer {
			return false
		}
		if old := b.entries[h.Peer]; old != nil {
			old.Close()
		}
		b.evacuations.recipients.Add(c)
		b.entries[h.Peer] = c
		b.assigner.SetEntries(len(b.entries) + 1)
		b.settings.Journal.Line("entry-connected").Str("peer", string(h.Peer)).Msg("")
		b.links.Add(false, b.dialTargets([]netip.AddrPort{h.PeerAddr})...)
		c.Send(routesFrame(b.directory.list(b.settings.PeerAnnounce, b.links.Addresses())))
		b.directory.connected(h.Peer, h.PeerAddr)
		if b.relays.connected(h.Peer, h.PeerAddr) {
			b.logRelayEnd(h.PeerAddr, "connected")
		}
		b.assigner.EntryBack(b.loop.Elapsed(now))
		b.resendRecalls(now, c)
		b.resendInquiries(now, h.Peer)
		if told := b.assigner.ToldJobs(); len(told) > 0 {
			c.Send(b.agedJobsFrame(b.loop.Elapsed(now), told))
		}
		b.tellCancels(now, c)
		b.versions.heard(h.Peer, h.ConfigVersion)
	default:
		return false
	}
	return true
}

func (b *Broker) receive(now time.Time, c *connector.Conn, f *messenger.Frame) {
	h := c.Hello()
	b.receiveEvacuations(now, c, f)
	if h.Role == messenger.RoleAgent {
		if _, isNew := b.newAgents[c]; isNew {
			b.registerAgent(now, c)
		}
		if b.agents[h.Peer] == c {
			b.assigner.Receive(b.loop.Elapsed(now), h.Peer, f)
			b.receiveRelays(now, h.Peer, f.Relays)
		}
		return
	}
	if f.Routes != nil {
		connected, others := f.Routes.Addresses()
		b.entriesKnown(now, connected)
		b.links.Reachable(now, b.dialTargets(connected)...)
		b.links.Add(false, b.dialTargets(others)...)
	}
	b.receiveJobs(now, h.Peer, f)
	if f.Config == nil {
		return
	}
	b.versions.heard(h.Peer, f.Config.Version)
	if f.Config.WantVersion > 0 && f.Config.WantVersion <= b.version() {
		c.Send(&messenger.Frame{Config: &messenger.Config{Version: b.version(), Document: b.document}})
	}
	if f.Config.Document != nil {
		catalogue, err := cataloguer.Decode(f.Config.Document)
		if err != nil {
			b.settings.Journal.Line("catalogue-unreadable").Str("peer", string(h.Peer)).Err(err).Msg("")
			return
		}
		b.applyCatalogue(now, catalogue, string(h.Peer))
	}
}

// registerAgent registers a connection of an agent with its first frame. The agent has
// accepted the connection only if nothing is left of earlier ones. The handshake does not
// show that: the agent may have given the connection up meanwhile, or have ended. Neither does
// a frame that arrives after the agent has used a later connection.
func (b *Broker) registerAgent(now time.Time, c *connector.Conn) {
	h := c.Hello()
	delete(b.newAgents, c)
	if c.OpenedAt().Before(b.latestOpened[h.Instance]) {
		b.settings.Journal.Line("agent-connection-stale").Str("peer", string(h.Peer)).Str("instance", h.Instance).Msg("")
		c.Close()
		return
	}
	b.latestOpened[h.Instance] = c.OpenedAt()
	if old := b.agents[h.Peer]; old != nil {
		old.Close()
	}
	b.agents[h.Peer] = c
	b.assigner.AgentUp(b.loop.Elapsed(now), h.Peer, h.Instance, h.DataCentre)
}

// closeSilentAgents closes the connections on which an agent has sent no frame in time.
func (b *Broker) closeSilentAgents(now time.Time) {
	for c, accepted := range b.newAgents {
		if now.Sub(accepted) > handshakeTimeout {
			delete(b.newAgents, c)
			c.Close()
		}
	}
}

func (b *Broker) removeConn(now time.Time, c *connector.Conn, cause error) {
	h := c.Hello()
	delete(b.newAgents, c)
	b.evacuations.recipients.Remove(c)
	switch {
	case b.agents[h.Peer] == c:
		delete(b.agents, h.Peer)
		b.assigner.AgentDown(b.loop.Elapsed(now), h.Peer)
	case b.entries[h.Peer] == c:
		delete(b.entries, h.Peer)
		b.directory.disconnected(h.Peer)
		b.versions.gone(h.Peer)
		b.canceller.EntryLost(h.Peer)
		if !b.isConnectedTo(h.PeerAddr) {
			b.relays.disconnected(b.loop.Elapsed(now), h.Peer)
		}
		b.tracker.OwnerGone(b.loop.Elapsed(now), h.Peer)
		b.assigner.EntryLost(b.loop.Elapsed(now))
		b.assigner.SetEntries(len(b.entries) + 1)
		b.settings.Journal.Line("entry-disconnected").Str("peer", string(h.Peer)).Err(cause).Msg("")
	}
}

func (b *Broker) dialFailed(addr netip.AddrPort, err error) {
	b.settings.Journal.Line("entry-not-reached").Str("address", addr.String()).Err(err).Msg("")
}

// applyCatalogue puts a catalogue in force if it is newer, and sends its version to the
// other entries. They request the document if they do not get it from the platform, which
// may refuse their requests.
func (b *Broker) applyCatalogue(now time.Time, c *cataloguer.Catalogue, source string) {
	if c.Version >= b.version() {
		b.confirmedAt = now
	}
	if !b.catalogue.Offer(c) {
		return
	}
	b.settings.Journal.Line("config-in-force").Uint64("config-version", c.Version).Str("source", source).Msg("")
	document, err := c.Encode()
	if err != nil {
		b.settings.Journal.Line("catalogue-not-encoded").Err(err).Msg("")
		return
	}
	b.document = document
	for _, conn := range b.entries {
		conn.Send(&messenger.Frame{Config: &messenger.Config{Version: c.Version}})
	}
}

// requestConfig requests the catalogue from another entry if that is due.
func (b *Broker) requestConfig(now time.Time) {
	peer, version := b.versions.request(now, b.version())
	if conn := b.entries[peer]; conn != nil {
		b.settings.Journal.Line("config-requested").Str("peer", string(peer)).Uint64("config-version", version).Msg("")
		conn.Send(&messenger.Frame{Config: &messenger.Config{Version: b.version(), WantVersion: version}})
	}
}

// announceEntries sends the addresses of newly connected entries to all agents and entries, also
// to agents whose first frame has not come: they were sent the list of entries before.
func (b *Broker) announceEntries(now time.Time) {
	if now.Sub(b.announcedAt) < announceInterval {
		return
	}
	added := b.directory.takeAdded()
	if len(added) == 0 {
		return
	}
	b.announcedAt = now
	f := routesFrame(added)
	for _, c := range b.agents {
		c.Send(f)
	}
	for c := range b.newAgents {
		c.Send(f)
	}
	for _, c := range b.entries {
		c.Send(f)
	}
}
