package broker

import (
	"context"
	"maps"
	"net/netip"
	"slices"
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

// agentWorld is a broker to which a test connects as the agents of one instance.
type agentWorld struct {
	t       *testing.T
	broker  *Broker
	context context.Context
}

func newAgentWorld(t *testing.T) *agentWorld {
	j := journaler.New("error", t.Output())
	t.Cleanup(func() { j.Close() })
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
	t.Cleanup(func() { cancel(); <-ended })
	return &agentWorld{t: t, broker: b, context: ctx}
}

// dial connects as an agent process, and returns once the entry has completed the handshake.
func (w *agentWorld) dial(peer messenger.Peer) *connector.Conn {
	w.t.Helper()
	hello := messenger.Hello{Version: messenger.ProtocolVersion, Peer: peer, Role: messenger.RoleAgent, Instance: "side-1"}
	before := w.accepted()
	c, err := connector.Dial(w.context, "ws://"+w.broker.Addr().String()+connector.Path, connector.Options{
		Hello: func() messenger.Hello { return hello }, Counts: new(connector.Counts),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = c.Run(func(*messenger.Frame) {}) }()
	w.await("the handshake", func() bool { return w.accepted() == before+1 })
	return c
}

// send sends the first frame on a connection, and returns once the entry has applied it.
func (w *agentWorld) send(c *connector.Conn) {
	w.t.Helper()
	before := w.accepted()
	c.Send(&messenger.Frame{Stamp: &messenger.Stamp{Clock: time.Second}, Load: &messenger.Load{State: messenger.RunnerReady}})
	w.await("the first frame", func() bool { return w.accepted() == before-1 })
}

// accepted returns the number of connections without a frame.
func (w *agentWorld) accepted() (n int) {
	w.broker.loop.Call(func(time.Time) { n = len(w.broker.newAgents) })
	return n
}

// inUse returns the processes of agents whose connections are in use, and these.
func (w *agentWorld) inUse() (conns map[messenger.Peer]*connector.Conn) {
	w.broker.loop.Call(func(time.Time) { conns = maps.Clone(w.broker.agents) })
	return conns
}

func (w *agentWorld) await(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// TestEarlierConnectionDoesNotReplaceAgent checks that the first frame of an earlier connection,
// which was delayed until after the agent has accepted a later one, does not replace that.
// The entry would launch the tasks of the later one elsewhere while they run on.
func TestEarlierConnectionDoesNotReplaceAgent(t *testing.T) {
	for _, earlier := range []messenger.Peer{"agent-1", "earlier-process"} {
		t.Run(string(earlier), func(t *testing.T) {
			w := newAgentWorld(t)
			first := w.dial(earlier)
			second := w.dial("agent-1")
			w.send(second)
			want := w.inUse()
			w.send(first)
			if got := w.inUse(); !maps.Equal(got, want) {
				t.Errorf("the earlier connection has replaced the later one: %v, want %v", slices.Collect(maps.Keys(got)), slices.Collect(maps.Keys(want)))
			}
			second.Close()
			w.await("the end of the later connection", func() bool { return len(w.inUse()) == 0 })
			w.send(w.dial("agent-1"))
			if got := w.inUse(); len(got) != 1 {
				t.Errorf("%d connections in use after the agent has connected again, want 1", len(got))
			}
		})
	}
}

// TestEarlierConnectionDoesNotEndLaterRuns is the same after the later connection has ended: the
// runs that belonged to it may go on.
func TestEarlierConnectionDoesNotEndLaterRuns(t *testing.T) {
	w := newAgentWorld(t)
	first, second := w.dial("agent-1"), w.dial("agent-1")
	w.send(second)
	second.Close()
	w.await("the end of the later connection", func() bool { return len(w.inUse()) == 0 })
	w.send(first)
	if got := w.inUse(); len(got) != 0 {
		t.Error("the earlier connection is in use")
	}
}
