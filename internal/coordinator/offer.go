package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
)

// offer is a handover at the peer that receives it.
type offer struct {
	from           messenger.Peer
	receivedAt     time.Time
	partitions     []messenger.HandoverPartition
	jobs           []messenger.HandoverJob // The jobs of the pieces received so far.
	piecesReceived int
	complete       bool // The last piece was received.
}

// addPiece adds a piece of the records. It returns false if the piece is not the next
// one.
func (o *offer) addPiece(h *messenger.Handover) bool {
	if o.complete || h.Piece != o.piecesReceived {
		return false
	}
	o.jobs = append(o.jobs, h.Jobs...)
	o.piecesReceived++
	o.complete = h.Last
	return true
}

// activateHandedOver activates a partition whose owner has passed it to this entry. It
// reports whether the row comes from a handover whose records are complete here.
func (c *Coordinator) activateHandedOver(now time.Time, gained messenger.PartitionEpoch, id string) bool {
	o := c.handovers.offers[id]
	if id == "" || o == nil || !o.complete {
		return false
	}
	for _, hp := range o.partitions {
		if hp.Partition == gained.Partition && hp.Epoch+1 == gained.Epoch {
			c.recoverer.BeginHandover(now, gained, recoverer.Uncertainty{Before: hp.UncertainBefore, RecordsIncomplete: hp.Incomplete})
			c.importJobs(now, jobsInPartition(o.jobs, gained.Partition))
			return true
		}
	}
	return false
}

// receivePiece adds a piece of an offer and asks for the next one, or accepts the offer
// after the last one. A piece out of order belongs to a handover that has ended or to
// an earlier connection; the owner cancels such a handover.
func (c *Coordinator) receivePiece(e *entryLink, h *messenger.Handover) {
	o := c.handovers.offers[h.ID]
	if o == nil || o.from != e.peer || !o.addPiece(h) {
		return
	}
	reply := &messenger.Handover{ID: h.ID, Step: messenger.HandoverNext, Piece: o.piecesReceived}
	if o.complete {
		reply = &messenger.Handover{ID: h.ID, Step: messenger.HandoverAccept}
	}
	e.pendingFrame().Handover = reply
}

// offerObsolete reports whether an offer can no longer lead to rows that name this
// entry. If the owner's write still takes effect later, this entry owns the partitions
// without their records and recovers them by a takeover.
func (c *Coordinator) offerObsolete(now time.Time, o *offer) bool {
	if now.Sub(o.receivedAt) > c.limits.Recoverer.Window {
		return true
	}
	return !slices.ContainsFunc(o.partitions, func(hp messenger.HandoverPartition) bool {
		return c.highestEpoch[hp.Partition] <= hp.Epoch
	})
}
