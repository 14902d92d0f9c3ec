package coordinator_test

import (
	"bytes"
	"fmt"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// conn is a connection between two processes. Messages of one direction arrive in
// order and are lost only with the connection.
type conn struct {
	ends  [2]*process
	queue [2][]item // queue[i] has what ends[i] has not handled.
	cut   bool
	// silent means that what is sent does not arrive, and nobody notices.
	silent bool
}

// item is an event of a connection at one end.
type item struct {
	kind    string // kind is up, frame or down.
	hello   messenger.Hello
	message []byte // message is the encoded frame.
	// sent is the frame as its sender has it, where the history checks that the
	// sender does not change it any more; nil elsewhere.
	sent *messenger.Frame
}

// connect opens a connection between two living processes.
func (w *world) connect(a, b *process) {
	c := &conn{ends: [2]*process{a, b}}
	c.queue[0] = []item{{kind: "up", hello: b.hello()}}
	c.queue[1] = []item{{kind: "up", hello: a.hello()}}
	w.conns = append(w.conns, c)
	w.logf("%s and %s connect", a.peer, b.peer)
}

func (p *process) hello() messenger.Hello {
	h := messenger.Hello{
		Version:    messenger.ProtocolVersion,
		Peer:       p.peer,
		Role:       p.role,
		Region:     p.region,
		DataCentre: "dc-0",
		Rack:       fmt.Sprintf("r%d", p.seat),
	}
	if p.guard != nil {
		h.Epochs = p.guard.Epochs()
	}
	return h
}

// linked reports whether an unbroken connection joins the processes.
func (w *world) linked(a, b *process) bool {
	for _, c := range w.conns {
		if !c.cut && (c.ends[0] == a && c.ends[1] == b || c.ends[0] == b && c.ends[1] == a) {
			return true
		}
	}
	return false
}

// send puts a frame on the connection to a peer; it is lost if there is none.
func (w *world) send(from *process, to messenger.Peer, f *messenger.Frame) {
	c := from.conns[to]
	if c == nil || c.cut {
		return
	}
	if w.sent != nil {
		w.sent(f)
	}
	other := 1
	if c.ends[1] == from {
		other = 0
	}
	it := item{kind: "frame", message: w.encode(f)}
	if w.options.watchFrames {
		it.sent = f
	}
	c.queue[other] = append(c.queue[other], it)
}

// encode returns the encoding of a frame.
func (w *world) encode(f *messenger.Frame) []byte {
	w.buf.Reset()
	if err := messenger.Append(&w.buf, f); err != nil {
		w.oracle.fail("a frame cannot be encoded: %v", err)
	}
	return bytes.Clone(w.buf.Bytes())
}

// decode returns the frame of a message. In production a connection encodes a
// frame some time after it was sent, so that the sender must leave it as it is.
func (w *world) decode(it item) *messenger.Frame {
	if it.sent != nil && !bytes.Equal(w.encode(it.sent), it.message) {
		w.oracle.fail("a frame was changed after it was sent")
	}
	var out *messenger.Frame
	if err := messenger.Decode(it.message, func(f *messenger.Frame) { out = f }); err != nil {
		w.oracle.fail("a frame cannot be decoded: %v", err)
	}
	return out
}

// cutConn breaks a connection. Of what is under way in each direction some first
// part still arrives.
func (w *world) cutConn(c *conn) {
	c.cut = true
	w.logf("the connection of %s and %s breaks", c.ends[0].peer, c.ends[1].peer)
	for i := range c.queue {
		keep := w.pick(len(c.queue[i]) + 1)
		c.queue[i] = append(c.queue[i][:keep:keep], item{kind: "down"})
	}
}

// deliverable returns the ends at which something can be handled now.
func (w *world) deliverable() []end {
	var out []end
	kept := w.conns[:0]
	for _, c := range w.conns {
		gone := true
		for i := range c.queue {
			if !c.ends[i].alive {
				c.queue[i] = nil
			}
			if len(c.queue[i]) > 0 || !c.cut {
				gone = false
			}
			if len(c.queue[i]) > 0 && c.ends[i].acts() && !c.silent {
				out = append(out, end{c, i})
			}
		}
		if !gone {
			kept = append(kept, c)
		}
	}
	w.conns = kept
	return out
}

// end is one side of a connection.
type end struct {
	conn *conn
	side int
}

// deliver lets a process handle the next event of a connection.
func (w *world) deliver(e end) {
	p, c := e.conn.ends[e.side], e.conn
	peer := c.ends[1-e.side].peer
	it := c.queue[e.side][0]
	c.queue[e.side] = c.queue[e.side][1:]
	switch {
	case it.kind == "up":
		if p.conns[peer] != nil {
			w.peerDown(p, peer)
		}
		p.conns[peer] = c
		w.logf("%s sees %s", p.peer, peer)
		if p.guard != nil {
			p.guard.EntryUp(p.now(w), peer)
		} else {
			p.entry.PeerUp(p.now(w), it.hello)
		}
	case p.conns[peer] != c:
		return
	case it.kind == "down":
		delete(p.conns, peer)
		w.logf("%s loses %s", p.peer, peer)
		w.peerDown(p, peer)
	default:
		f := w.decode(it)
		if f == nil {
			return
		}
		if w.trace != nil {
			w.logf("%s <- %s: %s", p.peer, peer, w.describe(f))
		}
		if p.guard != nil {
			p.guard.Receive(p.now(w), peer, f)
		} else {
			p.entry.Receive(p.now(w), peer, f)
		}
	}
	w.flush(p)
}

func (w *world) peerDown(p *process, peer messenger.Peer) {
	if p.guard != nil {
		p.guard.EntryDown(p.now(w), peer)
	} else {
		p.entry.PeerDown(p.now(w), peer)
	}
}

// describe writes a frame for a trace.
func (w *world) describe(f *messenger.Frame) string {
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
			add("record(%s running %v ended %d cancelled=%t settled=%t)", w.oracle.name(r.Submission), r.Running, len(r.Ended), r.Cancelled, r.Settled)
		}
	}
	if len(f.Fenced) > 0 {
		add("fenced(%d)", len(f.Fenced))
	}
	for _, s := range f.Starts {
		for _, t := range s.Tasks {
			add("start(%s/%d epoch %d)", w.oracle.name(s.Submission), t.Index, s.Epoch)
		}
	}
	for _, r := range f.Results {
		for _, t := range r.Tasks {
			add("result(%s/%d %s %s)", w.oracle.name(r.Submission), t.Index, t.Kind, t.Refusal)
		}
	}
	for _, x := range f.Cancels {
		add("cancel(%s)", w.oracle.name(x.Submission))
	}
	for _, x := range f.Settled {
		add("settled(%s)", w.oracle.name(x.Submission))
	}
	for _, x := range f.Forwards {
		add("forward(%s ticket %d)", w.oracle.name(x.Submission), x.Ticket)
	}
	for _, x := range f.Answers {
		add("answer(%s ticket %d %s %s)", w.oracle.name(x.Submission), x.Ticket, x.Outcome, x.Reason)
	}
	for _, x := range f.Moved {
		add("moved(ticket %d)", x.Ticket)
	}
	if f.Handover != nil {
		add("handover(%s %s, %d partitions, %d jobs)", f.Handover.ID, f.Handover.Step, len(f.Handover.Partitions), len(f.Handover.Jobs))
	}
	return out
}
