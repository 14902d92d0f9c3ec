package broker

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/evacuator"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestHandshakeDoesNotReplaceAgent checks that the handshake of a connection, which an agent
// may have given up, does not replace the agent's connection in use. The entry would launch the
// tasks of that connection elsewhere while they run on.
func TestHandshakeDoesNotReplaceAgent(t *testing.T) {
	w := newAgentWorld(t)
	first := w.dial("agent-1")
	if n := len(w.inUse()); n != 0 {
		t.Errorf("%d connections in use after the first handshake, want 0", n)
	}
	w.send(first)
	want := w.inUse()
	if len(want) != 1 {
		t.Fatalf("%d connections in use after the first frame, want 1", len(want))
	}
	second := w.dial("agent-1")
	if got := w.inUse(); !maps.Equal(got, want) {
		t.Error("the second handshake has replaced the connection in use")
	}
	w.send(second)
	if got := w.inUse(); len(got) != 1 || maps.Equal(got, want) {
		t.Error("the second frame has not replaced the connection in use")
	}
}

// agentWorld is a broker to which a test connects as the agents of one instance.
type agentWorld struct {
	t       *testing.T
	broker  *Broker
	context context.Context
}

// newAgentWorld starts a broker, with evacuations if limits for these are given.
func newAgentWorld(t *testing.T, evacuations ...*evacuator.Limits) *agentWorld {
	j := journaler.New("error", t.Output())
	t.Cleanup(func() { j.Close() })
	s := Settings{
		Instance: "entry-1", PeerListen: netip.MustParseAddrPort("127.0.0.1:0"), Journal: j,
		Limits: assigner.Limits{LivenessTimeout: time.Minute, SuspicionTimeout: time.Minute, HeartbeatInterval: time.Minute, ResubmitDelay: testResubmitDelay},
	}
	for _, l := range evacuations {
		s.Evacuations = l
	}
	b, err := New(s)
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
	return w.dialHandling(peer, func(*messenger.Frame) {})
}

// dialHandling is like dial, and passes the entry's frames on.
func (w *agentWorld) dialHandling(peer messenger.Peer, handle func(*messenger.Frame)) *connector.Conn {
	w.t.Helper()
	hello := messenger.Hello{Version: messenger.ProtocolVersion, Peer: peer, Role: messenger.RoleAgent, Instance: "side-1"}
	before := w.accepted()
	c, err := connector.Dial(w.context, "ws://"+w.broker.Addr().String()+connector.Path, connector.Options{
		Hello: func() messenger.Hello { return hello }, Counts: new(connector.Counts),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { _ = c.Run(handle) }()
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
