package broker

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestRelayTargets runs the scripts in testdata.
//
//	at TIME                        sets the time, prints the targets that end after use, and uses all others
//	known ADDR                     an address becomes known
//	connected PEER ADDR            an entry connects
//	disconnected PEER              its connection ends
//	heard PEER ADDR AGENT WHETHER  a message comes through an agent; true if the entry has a connection here
//	address PEER                   prints an entry's address if it is a target
//	reached                        prints the entries whose messages come through agents
func TestRelayTargets(t *testing.T) {
	scripter.Run(t, "testdata/relays-*.txtar", func(t *testing.T, lines []scripter.Line) string {
		s := &relayScript{targets: newRelayTargets(), entries: make(map[messenger.Peer]bool)}
		for _, l := range lines {
			fmt.Fprintf(&s.out, "> %s %s\n", l.Verb, strings.Join(l.Args, " "))
			s.line(t, l)
		}
		return s.out.String()
	})
}

type relayScript struct {
	targets relayTargets
	entries map[messenger.Peer]bool
	now     time.Duration
	out     strings.Builder
}

func (s *relayScript) line(t *testing.T, l scripter.Line) {
	var peer messenger.Peer
	if len(l.Args) > 0 {
		peer = messenger.Peer(l.Args[0])
	}
	switch l.Verb {
	case "at":
		s.now = scripter.Duration(t, l.Args[0])
		s.useAll()
	case "known":
		s.targets.known(s.now, netip.MustParseAddrPort(l.Args[0]))
	case "connected":
		s.entries[peer] = true
		fmt.Fprintln(&s.out, "ends the use:", s.targets.connected(peer, netip.MustParseAddrPort(l.Args[1])))
	case "disconnected":
		delete(s.entries, peer)
		s.targets.disconnected(s.now, peer)
	case "heard":
		s.gone(s.targets.heard(s.now, peer, netip.MustParseAddrPort(l.Args[1]), messenger.Peer(l.Args[2]), l.Args[3] == "true"))
	case "address":
		addr, ok := s.targets.addrOf(peer)
		fmt.Fprintln(&s.out, addr, ok)
	case "reached":
		fmt.Fprintln(&s.out, s.targets.reached())
	default:
		t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
}

func (s *relayScript) useAll() {
	for _, addr := range s.targets.expire(s.now) {
		fmt.Fprintln(&s.out, addr, "ends")
	}
	s.gone(s.targets.forget(func(peer messenger.Peer) bool { return s.entries[peer] }))
	for _, addr := range s.targets.list() {
		via, isFirst := s.targets.use(addr)
		fmt.Fprintf(&s.out, "%v via %q, first: %v\n", addr, via, isFirst)
	}
}

func (s *relayScript) gone(peers []messenger.Peer) {
	for _, peer := range peers {
		fmt.Fprintln(&s.out, peer, "is gone")
	}
}
