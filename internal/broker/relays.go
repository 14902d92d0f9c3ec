package broker

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// relayAgents is the number of agents through which each message is sent. Some of them may not be
	// connected to the other entry.
	relayAgents = 3
	// maxRelayedJobs bounds the open jobs in one message through an agent. Of more jobs, the next ones
	// follow in the next message.
	maxRelayedJobs = 1024
	// maxRelayedRecalls bounds the recalls in it. Together they take less than agents pass on.
	maxRelayedRecalls = 512
)

// sendToEntry sends a message to another entry: on its connection, and through agents if that entry
// has none or does not know of it. The message may arrive more than once or not at all.
func (b *Broker) sendToEntry(peer messenger.Peer, f *messenger.Frame) {
	if c := b.entries[peer]; c != nil {
		c.Send(f)
	}
	if addr, ok := b.relays.addrOf(peer); ok {
		b.relay(addr, f)
	}
}

// relay sends a message to the entry at an address through some agents.
func (b *Broker) relay(to netip.AddrPort, f *messenger.Frame) {
	var message bytes.Buffer
	if err := messenger.Append(&message, f); err != nil {
		b.settings.Journal.Line("relay-not-encoded").Err(err).Msg("")
		return
	}
	via, isFirst := b.relays.use(to)
	if isFirst {
		b.settings.Journal.Line("entry-relay-begins").Str("address", to.String()).Msg("")
	}
	relay := &messenger.Frame{Relays: []messenger.Relay{{
		From: b.peer, ReplyTo: b.settings.PeerAnnounce, To: to, Message: message.Bytes(), Connected: b.isConnectedTo(to),
	}}}
	for _, agent := range b.chooseAgents(via) {
		agent.Send(relay)
	}
}

// chooseAgents returns the connections of the agent through which the latest message came, if it is
// connected, and of others at random.
func (b *Broker) chooseAgents(via messenger.Peer) (chosen []*connector.Conn) {
	if c := b.agents[via]; c != nil {
		chosen = append(chosen, c)
	}
	others := slices.Collect(maps.Keys(b.agents))
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, peer := range others {
		if len(chosen) == relayAgents {
			break
		}
		if peer != via {
			chosen = append(chosen, b.agents[peer])
		}
	}
	return chosen
}

// isConnectedTo reports whether the entry at an address has a connection here.
func (b *Broker) isConnectedTo(addr netip.AddrPort) bool {
	for _, a := range b.directory.entries {
		if a == addr {
			return true
		}
	}
	return false
}

// entriesKnown applies that there may be entries at addresses.
func (b *Broker) entriesKnown(now time.Time, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if addr != b.settings.PeerAnnounce && !b.isConnectedTo(addr) {
			b.relays.known(b.loop.Elapsed(now), addr)
		}
	}
}

// relayOpenJobs sends to the entries without a connection, through agents, which jobs have been open
// for tellAge, and the recalls from them that have not ended. Both are repeated at each interval,
// since a message may be lost.
func (b *Broker) relayOpenJobs(now time.Time) {
	for _, addr := range b.relays.expire(b.loop.Elapsed(now)) {
		b.logRelayEnd(addr, "time-over")
	}
	b.entriesGone(now, b.relays.forget(func(peer messenger.Peer) bool { return b.entries[peer] != nil }))
	targets := b.relays.list()
	if len(targets) == 0 {
		return
	}
	told := b.nextToldJobs()
	recalls := b.recallsByAddr()
	for _, addr := range targets {
		if len(told) > 0 || len(recalls[addr]) > 0 {
			f := b.agedJobsFrame(b.loop.Elapsed(now), told)
			f.Recalls = recalls[addr]
			b.relay(addr, f)
		}
	}
}

// nextToldJobs returns the jobs that the other entries have been told of, at most maxRelayedJobs.
func (b *Broker) nextToldJobs() (ids []string) {
	told := b.assigner.ToldJobs()
	if len(told) <= maxRelayedJobs {
		return told
	}
	first, _ := slices.BinarySearch(told, b.nextRelayed)
	ids = append(ids, told[first:min(first+maxRelayedJobs, len(told))]...)
	ids = append(ids, told[:maxRelayedJobs-len(ids)]...)
	b.nextRelayed = ids[len(ids)-1] + "\x00"
	return ids
}

// recallsByAddr returns the recalls that have not ended, by the addresses of their owners if these
// are sent messages through agents.
func (b *Broker) recallsByAddr() map[netip.AddrPort][]messenger.Recall {
	recalls := make(map[netip.AddrPort][]messenger.Recall)
	for owner, jobs := range b.tracker.NotEnded() {
		addr, ok := b.relays.addrOf(owner)
		if !ok {
			continue
		}
		for _, job := range jobs {
			if known, _ := b.assigner.Known(job); known && len(recalls[addr]) < maxRelayedRecalls {
				recalls[addr] = append(recalls[addr], messenger.Recall{Job: job, Step: messenger.RecallRequested})
			}
		}
	}
	return recalls
}

// receiveRelays applies the messages of other entries that came through an agent.
func (b *Broker) receiveRelays(now time.Time, via messenger.Peer, relays []messenger.Relay) {
	for _, r := range relays {
		if r.To != b.settings.PeerAnnounce || r.From == b.peer {
			continue
		}
		isConnected := b.entries[r.From] != nil
		if !r.Connected || !isConnected {
			b.entriesGone(now, b.relays.heard(b.loop.Elapsed(now), r.From, r.ReplyTo, via, isConnected))
		}
		err := messenger.Decode(r.Message, func(f *messenger.Frame) { b.receiveJobs(now, r.From, f) })
		if err != nil {
			b.settings.Journal.Line("relay-unreadable").Str("peer", string(r.From)).Err(err).Msg("")
		}
	}
}

// entriesGone applies that nothing more is heard of entries through agents. A recall that one of them
// has accepted would never end.
func (b *Broker) entriesGone(now time.Time, peers []messenger.Peer) {
	for _, peer := range peers {
		b.tracker.OwnerGone(b.loop.Elapsed(now), peer)
	}
}

func (b *Broker) logRelayEnd(addr netip.AddrPort, reason string) {
	b.settings.Journal.Line("entry-relay-ended").Str("address", addr.String()).Str("reason", reason).Msg("")
}
