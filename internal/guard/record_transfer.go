package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// maxPieceBytes bounds one piece of a record transfer. It is small compared with the
// largest message, and large enough that few pieces are needed.
const maxPieceBytes = 1 << 20

// recordTransfer is the transfer of this agent's records to a successor when it
// leaves. Once it has started, the agent starts no more tasks, because the
// transferred records must be complete.
type recordTransfer struct {
	started  bool
	finished bool           // finished is set when a successor has all records, or the transfer is not needed or has failed.
	accepted bool           // accepted is set when a successor has all records.
	entry    messenger.Peer // entry relays the pieces; empty until one is chosen.
	attempt  int            // attempt counts the attempts at the transfer.
	pieces   []messenger.RecordTransfer
}

// entryDown makes the transfer restart if the entry that relays the pieces has
// disconnected.
func (t *recordTransfer) entryDown(entry messenger.Peer) {
	if t.entry == entry {
		t.entry = ""
	}
}

// TransferRecords transfers the records to a successor, through the first connected
// entry. It must be called repeatedly until [Guard.RecordsTransferred] reports that the
// transfer is finished; it does nothing while a task runs or waits.
func (g *Guard) TransferRecords(_ time.Time) {
	if g.running+g.waiting.len() > 0 || g.transfer.finished || g.transfer.entry != "" {
		return
	}
	if !g.admitted && !g.transfer.started {
		// Nothing has started here, or the agent was expelled.
		g.transfer.finished = true
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

// RecordsTransferred reports whether the transfer of the records is finished, and
// whether a successor has accepted them all.
func (g *Guard) RecordsTransferred() (finished, accepted bool) {
	return g.transfer.finished, g.transfer.accepted
}

// splitRecords returns all records in pieces of limited size.
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

// messageBytes estimates the encoded size of a record.
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

// applyTransferStatus applies an entry's answer to a piece: it finishes the transfer
// or sends the next piece.
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

// receiveTransfer stores a piece of the records of an agent that leaves, and
// acknowledges it. It refuses the piece if this agent is leaving too, because its own
// pieces may be in flight, if it was expelled, or if its memory for records is full.
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

// mergeRecord merges a record with those that other agents have transferred for the
// same submission. If one of them has dropped its results, the answer can't be
// complete, so the results of the others are dropped too.
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
