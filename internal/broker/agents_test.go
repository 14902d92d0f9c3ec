package broker

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestHandshakeDoesNotReplaceAgent checks that the handshake of a connection, which an agent
// may have given up, does not replace the agent's connection in use. The entry would launch the
// tasks of that connection elsewhere while they run on.
func TestHandshakeDoesNotReplaceAgent(t *testing.T) {
	j := journaler.New("error", t.Output())
	defer j.Close()
	b, err := New(Settings{
		Instance: "entry-1", PeerListen: netip.MustParseAddrPort("127.0.0.1:0"), Journal: j,
		Limits: assigner.Limits{LivenessTimeout: time.Minute, SuspicionTimeout: time.Minute, HeartbeatInterval: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	dial := func() *connector.Conn {
		hello := messenger.Hello{Version: messenger.ProtocolVersion, Peer: "agent-1", Role: messenger.RoleAgent, Instance: "side-1"}
		c, err := connector.Dial(ctx, "ws://"+b.Addr().String()+connector.Path, connector.Options{
			Hello: func() messenger.Hello { return hello }, Counts: new(connector.Counts),
		})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = c.Run(func(*messenger.Frame) {}) }()
		return c
	}
	// inUse returns the number of the connection in use, from 1 on; 0 if there is none.
	registered := make(map[*connector.Conn]int)
	inUse := func() (n int) {
		b.loop.Call(func(time.Time) {
			c := b.agents["agent-1"]
			if c != nil && registered[c] == 0 {
				registered[c] = len(registered) + 1
			}
			n = registered[c]
		})
		return n
	}
	accepted := func() (n int) {
		b.loop.Call(func(time.Time) { n = len(b.newAgents) })
		return n
	}
	await := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not within 5 s", what)
			}
		}
	}
	frame := &messenger.Frame{Stamp: &messenger.Stamp{Clock: time.Second}, Load: &messenger.Load{State: messenger.RunnerReady}}

	first := dial()
	await("the first handshake", func() bool { return accepted() == 1 })
	got := []int{inUse()}
	first.Send(frame)
	await("the first frame", func() bool { return inUse() == 1 })
	second := dial()
	await("the second handshake", func() bool { return accepted() == 1 })
	got = append(got, inUse())
	second.Send(frame)
	await("the second frame", func() bool { return inUse() == 2 })
	if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
		t.Errorf("connection in use after the handshakes (-want +got):\n%s", diff)
	}
}
