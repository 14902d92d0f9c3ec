package dispatcher

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(connector.Path, func(w http.ResponseWriter, r *http.Request) {
		conn, err := connector.Accept(w, r, e.connOptions())
		if err != nil {
			e.settings.Logger.Warn().Err(err).Msg("rejected the connection of a peer")
			return
		}
		// A new goroutine has a smaller stack than the HTTP server's goroutine, which
		// ends here.
		go e.serveConn(conn)
	})
	return mux
}

func (e *Entry) connOptions() connector.Options {
	return connector.Options{Hello: e.hello, Counts: &e.counts, Client: e.peerDialer}
}

func (e *Entry) hello() messenger.Hello {
	return messenger.Hello{
		Version:    messenger.ProtocolVersion,
		Peer:       e.settings.Peer,
		Role:       messenger.RoleEntry,
		Region:     e.settings.Region,
		DataCentre: e.settings.DataCentre,
		PeerAddr:   e.PeerAddr(),

		ConfigVersion: e.configVersion.Load(),
	}
}

// serveConn runs a connection until it ends.
func (e *Entry) serveConn(conn *connector.Conn) {
	peer := conn.Hello().Peer
	registered := e.loop.Call(func(now time.Time) {
		if old := e.peers[peer]; old != nil {
			old.Close()
			e.coordinator.PeerDown(now, peer)
		}
		e.peers[peer] = conn
		hello := conn.Hello()
		hello.Epochs = conn.TakeEpochs()
		e.coordinator.PeerUp(now, hello)
		e.versions.applier.PeerUp(now, conn.Hello())
	})
	if !registered {
		conn.Close()
		return
	}
	stop := context.AfterFunc(e.background, conn.Close)
	defer stop()
	err := conn.Run(func(f *messenger.Frame) {
		if f.Config != nil {
			e.receiveConfig(conn.Hello(), f.Config)
		}
		e.receiveQueries(conn, f)
		e.loop.Post(func(now time.Time) {
			if e.peers[peer] == conn {
				e.coordinator.Receive(now, peer, f)
			}
		})
	})
	e.loop.Post(func(now time.Time) {
		if e.peers[peer] != conn {
			return
		}
		delete(e.peers, peer)
		e.coordinator.PeerDown(now, peer)
		e.versions.applier.PeerDown(now, peer)
		e.settings.Logger.Info().Str("event", "peer-down").Str("peer", string(peer)).Err(err).Msg("connection ended")
	})
}

// dialEntries connects to the entries with greater names, so that there is a single
// connection between two entries.
func (e *Entry) dialEntries() {
	if !e.dialling.TryLock() {
		return
	}
	defer e.dialling.Unlock()
	entries := e.routes.Read()
	if entries == nil {
		return
	}
	var greater []messenger.Peer
	for _, other := range *entries {
		if other.Peer > e.settings.Peer {
			greater = append(greater, other.Peer)
		}
	}
	connected := e.connectedPeers(greater)
	for _, other := range *entries {
		if other.Peer > e.settings.Peer && !connected[other.Peer] {
			e.dial(other.Addr)
		}
	}
}

// connectedPeers returns which of the given peers are connected.
func (e *Entry) connectedPeers(peers []messenger.Peer) map[messenger.Peer]bool {
	connected := make(map[messenger.Peer]bool, len(peers))
	if len(peers) == 0 {
		return connected
	}
	e.loop.Call(func(time.Time) {
		for _, peer := range peers {
			connected[peer] = e.peers[peer] != nil
		}
	})
	return connected
}

// dial connects to an entry and returns the connection, or nil.
func (e *Entry) dial(addr netip.AddrPort) *connector.Conn {
	conn, err := connector.Dial(e.background, e.peerURL(addr.String()), e.connOptions())
	if err != nil {
		return nil
	}
	go e.serveConn(conn)
	return conn
}
