package keeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// TestRelays checks which messages between entries an agent passes on: those for a connected entry, in a
// bounded number and size.
func TestRelays(t *testing.T) {
	first, second := newRelayEntry(t, "entry-1"), newRelayEntry(t, "entry-2")
	runKeeper(t, first.addr, second.addr)
	from := <-first.conns
	<-second.conns
	relay := func(to netip.AddrPort, size int) messenger.Relay {
		return messenger.Relay{From: "entry-1", ReplyTo: first.addr, To: to, Message: make([]byte, size), Connected: true}
	}
	unknown := netip.MustParseAddrPort("127.0.0.9:9")
	from.Send(&messenger.Frame{Relays: []messenger.Relay{relay(unknown, 1), relay(second.addr, maxRelayBytes+1), relay(second.addr, 2), relay(second.addr, maxRelayBytes)}})
	var many []messenger.Relay
	for range maxRelays + 1 {
		many = append(many, relay(second.addr, 3))
	}
	from.Send(&messenger.Frame{Relays: many})
	from.Send(&messenger.Frame{Relays: []messenger.Relay{relay(second.addr, 4)}})
	want := []messenger.Relay{relay(second.addr, 2), relay(second.addr, maxRelayBytes)}
	want = append(append(want, many[:maxRelays]...), relay(second.addr, 4))
	var got []messenger.Relay
	for len(got) < len(want) {
		select {
		case r := <-second.relays:
			got = append(got, r)
		case <-time.After(5 * time.Second):
			t.Fatalf("%d messages were passed on in 5 s, want %d", len(got), len(want))
		}
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
	if n := len(first.relays); n > 0 {
		t.Errorf("the sender received %d messages", n)
	}
}

// TestNoRelayFromClosedConnection checks that a message of an entry whose connection the agent has closed
// is not passed on, since it may be old.
func TestNoRelayFromClosedConnection(t *testing.T) {
	second := newRelayEntry(t, "entry-2")
	k := runKeeper(t, second.addr)
	<-second.conns
	k.loop.Call(func(time.Time) { k.receiveRelays("entry-1", []messenger.Relay{{From: "entry-1", To: second.addr}}) })
	k.loop.Call(func(time.Time) { k.receiveRelays("entry-2", []messenger.Relay{{From: "entry-2", To: second.addr}}) })
	if r := <-second.relays; r.From != "entry-2" {
		t.Errorf("a message of %s was passed on", r.From)
	}
}

// runKeeper runs an agent that is connected to entries, until the test ends.
func runKeeper(t *testing.T, entries ...netip.AddrPort) *Keeper {
	t.Helper()
	j := journaler.New("error", t.Output())
	t.Cleanup(func() { j.Close() })
	k, err := New(Settings{
		Instance: "agent-1", Journal: j, Entries: entries,
		Limits: runner.Limits{LivenessTimeout: time.Minute, ContactExpiry: time.Minute, LeaseDuration: time.Minute},
		Driver: Driver{Poll: func(_ context.Context, _ runner.PollRequest, _ func() time.Duration, wait time.Duration) (runner.Listing, PollStatus) {
			time.Sleep(wait)
			return runner.Listing{}, PollAnswered
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return k
}

// relayEntry is an entry that records the messages of other entries.
type relayEntry struct {
	addr   netip.AddrPort
	conns  chan *connector.Conn // conns has each connection once its first frame has come.
	relays chan messenger.Relay
}

func newRelayEntry(t *testing.T, peer messenger.Peer) *relayEntry {
	t.Helper()
	e := &relayEntry{conns: make(chan *connector.Conn, 4), relays: make(chan messenger.Relay, 64)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := connector.Accept(w, r, connector.Options{Counts: new(connector.Counts), Hello: func() messenger.Hello {
			return messenger.Hello{Version: messenger.ProtocolVersion, Peer: peer, Role: messenger.RoleEntry, PeerAddr: e.addr}
		}})
		if err != nil {
			return
		}
		isFirst := true
		_ = c.Run(func(f *messenger.Frame) {
			if isFirst {
				isFirst = false
				e.conns <- c
			}
			for _, relay := range f.Relays {
				e.relays <- relay
			}
		})
	}))
	t.Cleanup(server.Close)
	e.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	return e
}
