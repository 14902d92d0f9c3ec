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
type recordTransfer struct {
	started  bool
	finished bool           // over means that an heir has all, or that there is none.
	accepted bool           // kept means that an heir has all.
	entry    messenger.Peer // entry passes the pieces on; empty while none was asked.
	attempt  int            // attempt counts how often the passing was begun.
	pieces   []messenger.RecordTransfer
}

// entryDown begins anew if the entry has gone that passes the pieces on.
func (w *recordTransfer) entryDown(entry messenger.Peer) {
	if w.entry == entry {
		w.entry = ""
	}
}

// Bequeath passes the records on, through the first entry that is connected. It must
// be called again until [Guard.Bequeathed]; it does nothing while a task runs or waits.
func (g *Guard) TransferRecords(_ time.Time) {
	if g.running+g.waiting.len() > 0 || g.transfer.finished || g.transfer.entry != "" {
		return
	}
	if !g.admitted && !g.transfer.started {
		g.transfer.finished = true // Nothing can have started here.
		return
	}
	g.transfer.started = true
	g.admitted = false
	if len(g.entryOrder) == 0 {
		return
	}
	g.transfer.entry = g.entryOrder[0]
	g.transfer.attempt++
	g.transfer.pieces = g.splitRecords()
	g.sendPiece(0)
}

// Bequeathed reports whether the passing of the records is over, and whether an heir
// has them.
func (g *Guard) RecordsTransferred() (finished, accepted bool) {
	return g.transfer.finished, g.transfer.accepted
}

// divide returns all records in pieces.
func (g *Guard) splitRecords() []messenger.RecordTransfer {
	pieces := []messenger.RecordTransfer{{}}
	size := 0
	for p := range identifier.Partition(identifier.Partitions) {
		for _, r := range append(g.records.messages(p, false), g.transferred.messages(p, false)...) {
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
	f := g.frameTo(g.transfer.entry)
	piece := g.transfer.pieces[i]
	piece.Attempt = g.transfer.attempt
	f.RecordTransfers = append(f.RecordTransfers, piece)
}

// bequeathed applies what an entry says about the pieces.
func (g *Guard) applyTransferStatus(from messenger.Peer, m *messenger.RecordTransferStatus) {
	switch {
	case from != g.transfer.entry || m.Attempt != g.transfer.attempt:
	case m.Done, m.Refused:
		g.transfer.finished = true
		g.transfer.accepted = m.Done
		g.transfer.pieces = nil
	case m.Pieces > 0 && m.Pieces < len(g.transfer.pieces):
		g.sendPiece(m.Pieces)
	}
}

// adopt takes a piece of the records of an agent that leaves, and says so. An agent
// that leaves itself takes none, since its own pieces may be under way; nor does one
// whose memory for records is full.
func (g *Guard) receiveTransfer(now time.Time, from messenger.Peer, m *messenger.RecordTransfer) {
	answer := messenger.RecordTransferStatus{Agent: m.Agent, Attempt: m.Attempt, Pieces: m.Piece + 1}
	if g.transfer.started || g.expelled || g.records.full(true, g.transferred.bytes) {
		answer.Refused = true
	} else {
		for i := range m.Records {
			g.mergeRecord(g.Clock(now), &m.Records[i])
		}
	}
	f := g.frameTo(from)
	f.RecordTransferStatuses = append(f.RecordTransferStatuses, answer)
}

// adoptRecord joins a record with what other agents have left of the submission. Where
// the results of one are gone, the answer cannot be complete; those of the others go.
func (g *Guard) mergeRecord(clock time.Duration, m *messenger.Record) {
	r := g.transferred.add(clock, g.limits.Window, m.Submission)
	r.lastUsed = clock
	r.cancelled = r.cancelled || m.Cancelled
	g.transferred.setRequest(r, &messenger.Start{Service: m.Service, RequestKey: m.RequestKey, Digest: m.Digest})
	for i := range m.Ended {
		if t := m.Ended[i]; t.Index < maxTasks && !r.started.has(t.Index) {
			r.started.add(t.Index)
			g.transferred.bytes += r.end(clock, t)
		}
	}
	if m.Settled {
		g.transferred.bytes -= r.settle()
		r.acked = true
	}
}
