package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
)

// offer is a handover at the peer that it is made to.
type offer struct {
	from           messenger.Peer
	receivedAt     time.Time
	partitions     []messenger.HandoverPartition
	jobs           []messenger.HandoverJob // jobs are those of the pieces so far.
	piecesReceived int                     // pieces counts the pieces that came.
	complete       bool                    // complete means that the last piece came.
}

// add takes a piece of the records. It returns false if it is not the next one.
func (o *offer) addPiece(h *messenger.Handover) bool {
	if o.complete || h.Piece != o.piecesReceived {
		return false
	}
	o.jobs = append(o.jobs, h.Jobs...)
	o.piecesReceived++
	o.complete = h.Last
	return true
}

// gainHandover makes a partition active that its owner has passed to this entry.
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

// receivePiece takes a piece of what is offered and asks for the next one, or
// accepts when the last is in. A piece out of order says that its handover has
// ended or that the connection was another then; the owner cancels it.
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

// offerEnded reports whether the rows of an offer can change to this entry no
// more. An owner that makes a late write finds a new owner without its records,
// which then takes the partitions over.
func (c *Coordinator) offerObsolete(now time.Time, o *offer) bool {
	if now.Sub(o.receivedAt) > c.limits.Recoverer.Window {
		return true
	}
	return !slices.ContainsFunc(o.partitions, func(hp messenger.HandoverPartition) bool {
		return c.highestEpoch[hp.Partition] <= hp.Epoch
	})
}
