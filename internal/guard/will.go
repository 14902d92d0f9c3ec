package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// maxPieceBytes bounds a piece of the records that are passed on. It is chosen: small
// beside the largest message, and large enough that few pieces are needed.
const maxPieceBytes = 1 << 20

// will is the passing of this agent's records to an heir when it leaves. Once it is
// made, the agent starts nothing any more: what it passes on must be all.
type will struct {
	made    bool
	over    bool           // over means that an heir has all, or that there is none.
	kept    bool           // kept means that an heir has all.
	entry   messenger.Peer // entry passes the pieces on; empty while none was asked.
	attempt int            // attempt counts how often the passing was begun.
	pieces  []messenger.RecordTransfer
}

// entryDown begins anew if the entry has gone that passes the pieces on.
func (w *will) entryDown(entry messenger.Peer) {
	if w.entry == entry {
		w.entry = ""
	}
}

// Bequeath passes the records on, through the first entry that is connected. It must
// be called again until [Guard.Bequeathed]; it does nothing while a task runs or waits.
func (g *Guard) TransferRecords(_ time.Time) {
	if g.running+g.waiting.len() > 0 || g.will.over || g.will.entry != "" {
		return
	}
	if !g.admitted && !g.will.made {
		g.will.over = true // Nothing can have started here.
		return
	}
	g.will.made = true
	g.admitted = false
	if len(g.order) == 0 {
		return
	}
	g.will.entry = g.order[0]
	g.will.attempt++
	g.will.pieces = g.divide()
	g.sendPiece(0)
}

// Bequeathed reports whether the passing of the records is over, and whether an heir
// has them.
func (g *Guard) RecordsTransferred() (over, kept bool) { return g.will.over, g.will.kept }

// divide returns all records in pieces.
func (g *Guard) divide() []messenger.RecordTransfer {
	pieces := []messenger.RecordTransfer{{}}
	size := 0
	for p := range identifier.Partition(identifier.Partitions) {
		for _, r := range append(g.records.of(p, false), g.adopted.of(p, false)...) {
			n := messageBytes(&r)
			if size > 0 && size+n > maxPieceBytes {
				pieces = append(pieces, messenger.RecordTransfer{Piece: len(pieces)})
				size = 0
			}
			last := &pieces[len(pieces)-1]
			last.Records = append(last.Records, r)
			size += n
		}
	}
	pieces[len(pieces)-1].Last = true
	return pieces
}

// messageBytes returns about what a record takes in a message.
func messageBytes(r *messenger.Record) int {
	const base, perTask = 64, 16
	n := base + len(r.RequestKey) + len(r.Service)
	for i := range r.Ended {
		n += perTask + len(r.Ended[i].Payload) + len(r.Ended[i].Detail)
	}
	return n
}

func (g *Guard) sendPiece(i int) {
	f := g.frameTo(g.will.entry)
	piece := g.will.pieces[i]
	piece.Attempt = g.will.attempt
	f.RecordTransfers = append(f.RecordTransfers, piece)
}

// bequeathed applies what an entry says about the pieces.
func (g *Guard) bequeathed(from messenger.Peer, m *messenger.RecordTransferStatus) {
	switch {
	case from != g.will.entry || m.Attempt != g.will.attempt:
	case m.Done, m.Refused:
		g.will.over = true
		g.will.kept = m.Done
		g.will.pieces = nil
	case m.Pieces > 0 && m.Pieces < len(g.will.pieces):
		g.sendPiece(m.Pieces)
	}
}

// adopt takes a piece of the records of an agent that leaves, and says so. An agent
// that leaves itself takes none, since its own pieces may be under way; nor does one
// whose memory for records is full.
func (g *Guard) adopt(now time.Time, from messenger.Peer, m *messenger.RecordTransfer) {
	answer := messenger.RecordTransferStatus{Agent: m.Agent, Attempt: m.Attempt, Pieces: m.Piece + 1}
	if g.will.made || g.expelled || g.records.full(true, g.adopted.bytes) {
		answer.Refused = true
	} else {
		for i := range m.Records {
			g.adoptRecord(g.Clock(now), &m.Records[i])
		}
	}
	f := g.frameTo(from)
	f.RecordTransferStatuses = append(f.RecordTransferStatuses, answer)
}

// adoptRecord joins a record with what other agents have left of the submission. Where
// the results of one are gone, the answer cannot be complete; those of the others go.
func (g *Guard) adoptRecord(clock time.Duration, m *messenger.Record) {
	r := g.adopted.add(clock, g.limits.Window, m.Submission)
	r.used = clock
	r.cancelled = r.cancelled || m.Cancelled
	g.adopted.describe(r, &messenger.Start{Service: m.Service, RequestKey: m.RequestKey, Digest: m.Digest})
	for i := range m.Ended {
		if t := m.Ended[i]; t.Index < maxTasks && !r.started.has(t.Index) {
			r.started.add(t.Index)
			g.adopted.bytes += r.end(clock, t)
		}
	}
	if m.Settled {
		g.adopted.bytes -= r.settle()
		r.known = true
	}
}
