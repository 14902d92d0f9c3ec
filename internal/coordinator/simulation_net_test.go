package coordinator_test

import (
	"bytes"
	"fmt"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// conn is a connection between two processes. Messages in one direction arrive in order
// and are lost only if the connection breaks.
type conn struct {
	ends   [2]*process
	queue  [2][]event // queue[i] has the events that ends[i] has not handled.
	broken bool
	// While silent is set, messages are queued but not delivered, and neither end is
	// notified.
	silent bool
}

// event is an event of a connection at one end.
type event struct {
	kind    string // One of "up", "frame" and "down".
	hello   messenger.Hello
	message []byte // The encoded frame.
	// original is the sender's frame, to check that the sender does not change it after
	// sending; nil if the history does not check that.
	original *messenger.Frame
}

// connect opens a connection between two running processes.
func (sim *simulation) connect(a, b *process) {
	c := &conn{ends: [2]*process{a, b}}
	c.queue[0] = []event{{kind: "up", hello: b.hello()}}
	c.queue[1] = []event{{kind: "up", hello: a.hello()}}
	sim.conns = append(sim.conns, c)
	sim.logf("%s and %s connect", a.peer, b.peer)
}

func (p *process) hello() messenger.Hello {
	h := messenger.Hello{
		Version:    messenger.ProtocolVersion,
		Peer:       p.peer,
		Role:       p.role,
		Region:     p.region,
		DataCentre: "dc-0",
		Rack:       fmt.Sprintf("r%d", p.index),
	}
	if p.guard != nil {
		h.Epochs = p.guard.Epochs()
	}
	return h
}

// connected reports whether an unbroken connection joins the processes.
func (sim *simulation) connected(a, b *process) bool {
	for _, c := range sim.conns {
		if !c.broken && (c.ends[0] == a && c.ends[1] == b || c.ends[0] == b && c.ends[1] == a) {
			return true
		}
	}
	return false
}

// send queues a frame on the connection to a peer; it is lost if there is no
// connection.
func (sim *simulation) send(from *process, to messenger.Peer, f *messenger.Frame) {
	c := from.conns[to]
	if c == nil || c.broken {
		return
	}
	if sim.onSend != nil {
		sim.onSend(f)
	}
	other := 1
	if c.ends[1] == from {
		other = 0
	}
	e := event{kind: "frame", message: sim.encode(f)}
	if sim.options.checkFramesUnchanged {
		e.original = f
	}
	c.queue[other] = append(c.queue[other], e)
}

// encode returns the encoding of a frame.
func (sim *simulation) encode(f *messenger.Frame) []byte {
	sim.buf.Reset()
	if err := messenger.Append(&sim.buf, f); err != nil {
		sim.oracle.fail("a frame cannot be encoded: %v", err)
	}
	return bytes.Clone(sim.buf.Bytes())
}

// decode returns the frame of a message. In production a connection encodes a frame
// some time after it was sent, so the sender must not change it.
func (sim *simulation) decode(e event) *messenger.Frame {
	if e.original != nil && !bytes.Equal(sim.encode(e.original), e.message) {
		sim.oracle.fail("a frame was changed after it was sent")
	}
	var out *messenger.Frame
	if err := messenger.Decode(e.message, func(f *messenger.Frame) { out = f }); err != nil {
		sim.oracle.fail("a frame cannot be decoded: %v", err)
	}
	return out
}

// breakConn breaks a connection. In each direction a random prefix of the messages in
// flight still arrives.
func (sim *simulation) breakConn(c *conn) {
	c.broken = true
	sim.logf("the connection of %s and %s breaks", c.ends[0].peer, c.ends[1].peer)
	for i := range c.queue {
		keep := sim.pick(len(c.queue[i]) + 1)
		c.queue[i] = append(c.queue[i][:keep:keep], event{kind: "down"})
	}
}

// deliverable returns the ends that can handle an event now.
func (sim *simulation) deliverable() []end {
	var out []end
	open := sim.conns[:0]
	for _, c := range sim.conns {
		closed := true
		for i := range c.queue {
			if !c.ends[i].alive {
				c.queue[i] = nil
			}
			if len(c.queue[i]) > 0 || !c.broken {
				closed = false
			}
			if len(c.queue[i]) > 0 && c.ends[i].active() && !c.silent {
				out = append(out, end{c, i})
			}
		}
		if !closed {
			open = append(open, c)
		}
	}
	sim.conns = open
	return out
}

// end is one side of a connection.
type end struct {
	conn *conn
	side int
}

// deliver makes a process handle the next event of a connection.
func (sim *simulation) deliver(at end) {
	p, c := at.conn.ends[at.side], at.conn
	peer := c.ends[1-at.side].peer
	event := c.queue[at.side][0]
	c.queue[at.side] = c.queue[at.side][1:]
	switch {
	case event.kind == "up":
		if p.conns[peer] != nil {
			sim.peerDown(p, peer)
		}
		p.conns[peer] = c
		sim.logf("%s is connected to %s", p.peer, peer)
		if p.guard != nil {
			p.guard.EntryUp(p.now(sim), peer)
		} else {
			p.entry.PeerUp(p.now(sim), event.hello)
		}
	case p.conns[peer] != c:
		return
	case event.kind == "down":
		delete(p.conns, peer)
		sim.logf("%s is disconnected from %s", p.peer, peer)
		sim.peerDown(p, peer)
	default:
		f := sim.decode(event)
		if f == nil {
			return
		}
		if sim.trace != nil {
			sim.logf("%s <- %s: %s", p.peer, peer, sim.describe(f))
		}
		if p.guard != nil {
			p.guard.Receive(p.now(sim), peer, f)
		} else {
			p.entry.Receive(p.now(sim), peer, f)
		}
	}
	sim.flush(p)
}

func (sim *simulation) peerDown(p *process, peer messenger.Peer) {
	if p.guard != nil {
		p.guard.EntryDown(p.now(sim), peer)
	} else {
		p.entry.PeerDown(p.now(sim), peer)
	}
}

// describe formats a frame for a trace.
func (sim *simulation) describe(f *messenger.Frame) string {
	var out string
	add := func(format string, args ...any) { out += " " + fmt.Sprintf(format, args...) }
	if c := f.Contact; c != nil {
		add("contact(ping %d echo %d raised %d)", c.Ping, c.Echo, len(c.Raised))
	}
	if f.Admit != nil {
		add("admit")
	}
	if f.Fence != nil {
		add("fence(%d unsettled-only=%t)", len(f.Fence.Partitions), f.Fence.UnsettledOnly)
	}
	for _, x := range f.Fenced {
		for _, r := range x.Records {
			add("record(%s running %v ended %d cancelled=%t settled=%t)", sim.oracle.name(r.Submission), r.Running, len(r.Ended), r.Cancelled, r.Settled)
		}
	}
	if len(f.Fenced) > 0 {
		add("fenced(%d)", len(f.Fenced))
	}
	for _, s := range f.Starts {
		for _, t := range s.Tasks {
			add("start(%s/%d epoch %d)", sim.oracle.name(s.Submission), t.Index, s.Epoch)
		}
	}
	for _, r := range f.Results {
		for _, t := range r.Tasks {
			add("result(%s/%d %s %s)", sim.oracle.name(r.Submission), t.Index, t.Kind, t.Refusal)
		}
	}
	for _, x := range f.Cancels {
		add("cancel(%s)", sim.oracle.name(x.Submission))
	}
	for _, x := range f.Settled {
		add("settled(%s)", sim.oracle.name(x.Submission))
	}
	for _, x := range f.Forwards {
		add("forward(%s ticket %d)", sim.oracle.name(x.Submission), x.Ticket)
	}
	for _, x := range f.Answers {
		add("answer(%s ticket %d %s %s)", sim.oracle.name(x.Submission), x.Ticket, x.Outcome, x.Reason)
	}
	for _, x := range f.Moved {
		add("moved(ticket %d)", x.Ticket)
	}
	if f.Handover != nil {
		add("handover(%s %s, %d partitions, %d jobs)", f.Handover.ID, f.Handover.Step, len(f.Handover.Partitions), len(f.Handover.Jobs))
	}
	return out
}
