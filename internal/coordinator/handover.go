package coordinator

import (
	"slices"
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
)

// maxHandoverPartitions bounds the partitions of one handover.
const maxHandoverPartitions = 64

// Defaults for the sizes of handovers. Sending a piece takes a small part of the
// suspicion timeout, and requests for the stopped partitions wait only as long as a few
// pieces take.
const (
	DefaultHandoverBytes      = 4 << 20
	DefaultHandoverPieceBytes = 1 << 20
)

// handovers holds the one handover that this entry makes and those that are offered to
// it.
//
// The owner stops its partitions, sends their records, and only when the peer has all
// of them does it write the peer's name into the rows. Until it has requested that
// write, the owner may resume as if there had been no handover. Afterwards it resumes
// only under a new epoch of its own, written on the same condition, so that a delayed
// write of the handover can no longer take effect.
type handovers struct {
	lastNumber uint64
	outgoing   *outgoing // The handover that this entry makes; nil if there is none.
	offers     map[string]*offer
}

// outgoingState is the progress of a handover at the owner that makes it.
type outgoingState string

const (
	outgoingOffered  outgoingState = "offered"  // The peer has not confirmed that it has the records.
	outgoingAccepted outgoingState = "accepted" // The peer has the records; the write may be requested.
	outgoingWriting  outgoingState = "writing"  // The write was requested; whether it took effect is not known.
	outgoingReclaim  outgoingState = "reclaim"  // The write has not taken effect; a write of our own must rule it out.
)

// outgoing is a handover at the owner that makes it.
type outgoing struct {
	id         string
	to         messenger.Peer
	state      outgoingState
	partitions []messenger.HandoverPartition // Stopped here.
	jobs       []messenger.HandoverJob
	jobsSent   int
	piecesSent int
}

// nextPiece returns the next piece of the records. It has at least one job if any is
// left, and takes at most about maxBytes unless its first job alone is larger.
func (o *outgoing) nextPiece(step messenger.HandoverStep, maxBytes int) *messenger.Handover {
	begin, size := o.jobsSent, 0
	for o.jobsSent < len(o.jobs) {
		size += o.jobs[o.jobsSent].Size()
		if size > maxBytes && o.jobsSent > begin {
			break
		}
		o.jobsSent++
	}
	h := &messenger.Handover{
		ID:    o.id,
		Step:  step,
		Jobs:  o.jobs[begin:o.jobsSent],
		Piece: o.piecesSent,
		Last:  o.jobsSent == len(o.jobs),
	}
	o.piecesSent++
	return h
}

func newHandovers() handovers { return handovers{offers: make(map[string]*offer)} }

// startHandover starts to pass partitions to an entry that should own them.
func (c *Coordinator) startHandover(now time.Time) {
	if c.handovers.outgoing != nil || !c.registrar.Reachable() {
		return
	}
	to, partitions := c.chooseHandover(now)
	if len(partitions) == 0 {
		return
	}
	c.handovers.lastNumber++
	out := &outgoing{
		id:    string(c.self.Peer) + "/" + strconv.FormatUint(c.handovers.lastNumber, 10),
		to:    to,
		state: outgoingOffered,
	}
	for _, p := range partitions {
		uncertainty := c.recoverer.Uncertainty(now, p)
		out.partitions = append(out.partitions, messenger.HandoverPartition{
			Partition:       p,
			Epoch:           c.recoverer.Epoch(p),
			UncertainBefore: uncertainty.Before,
			Incomplete:      uncertainty.RecordsIncomplete,
		})
		out.jobs = append(out.jobs, c.stopPartition(now, p)...)
	}
	c.handovers.outgoing = out
	c.out.RoutesChanged = true
	h := out.nextPiece(messenger.HandoverOffer, c.limits.HandoverPieceBytes)
	// The frame is encoded later, and out.partitions shrinks in the meantime.
	h.Partitions = slices.Clone(out.partitions)
	c.entries[to].pendingFrame().Handover = h
}

// chooseHandover returns the next entry that should own partitions of this one, and
// which of them to pass to it. Partitions for which records of a former owner are still
// missing stay, unless this entry is draining. The records take at most HandoverBytes,
// unless a single partition has more.
func (c *Coordinator) chooseHandover(now time.Time) (messenger.Peer, []identifier.Partition) {
	live := c.liveEntries(now)
	var to messenger.Peer
	var out []identifier.Partition
	bytes := 0
	for p := range identifier.Partition(identifier.Partitions) {
		if c.recoverer.Phase(p) != recoverer.PhaseActive {
			continue
		}
		if !c.draining && c.recoverer.Uncertainty(now, p).RecordsIncomplete {
			continue
		}
		preferred := c.preferredOwners.Owner(p, live)
		if preferred == "" || preferred == c.self.Peer || !c.eligibleForHandover(now, preferred) || (to != "" && preferred != to) {
			continue
		}
		bytes += c.owner.PartitionBytes(p)
		if len(out) > 0 && bytes > c.limits.HandoverBytes {
			break
		}
		to = preferred
		out = append(out, p)
		if len(out) == maxHandoverPartitions {
			break
		}
	}
	return to, out
}

// eligibleForHandover reports whether an entry has been connected for MinConnectionAge.
// An entry that is draining does not wait for that.
func (c *Coordinator) eligibleForHandover(now time.Time, peer messenger.Peer) bool {
	e := c.entries[peer]
	return e != nil && (c.draining || now.Sub(e.connectedAt) >= c.limits.MinConnectionAge)
}

// stopPartition ends all activity of a partition and returns its records. Requests that
// wait for its jobs are held.
func (c *Coordinator) stopPartition(now time.Time, p identifier.Partition) []messenger.HandoverJob {
	c.recoverer.Stop(p)
	c.partitionsLost = true
	jobs := c.owner.Export(now, p)
	for _, r := range c.owner.Release(now, p) {
		c.placer.Drop(r.Job.Submission)
		for _, w := range r.Waiters {
			c.requests.hold(p, heldRequest{waiter: w, request: Request{Kind: RequestSubmit, Job: r.Job}})
		}
	}
	return jobs
}

// handoverWrite returns the write that the current state of the handover requires.
func (c *Coordinator) handoverWrite() (storer.Transaction, bool) {
	out := c.handovers.outgoing
	if out == nil {
		return storer.Transaction{}, false
	}
	switch out.state {
	case outgoingAccepted:
		out.state = outgoingWriting
		return c.ownerWrite(out, out.to, out.id), true
	case outgoingReclaim:
		return c.ownerWrite(out, c.self.Peer, reclaimID(out.id)), true
	}
	return storer.Transaction{}, false
}

// ownerWrite returns a write that sets the owner of the partitions of a handover, on
// the condition that the rows under which they were stopped are unchanged.
func (c *Coordinator) ownerWrite(out *outgoing, to messenger.Peer, id string) storer.Transaction {
	t := storer.Transaction{
		Conditions: []storer.Condition{registrar.RosterCondition(c.registrar.Roster(c.self.Region))},
	}
	for _, hp := range out.partitions {
		row := c.registrar.Partition(hp.Partition)
		t.Conditions = append(t.Conditions, registrar.PartitionCondition(hp.Partition, row))
		t.Puts = append(t.Puts, registrar.PartitionPut(hp.Partition, registrar.Ownership{
			Owner:    to,
			Epoch:    hp.Epoch + 1,
			Region:   c.self.Region,
			Handover: id,
		}))
	}
	return t
}

// reclaimID returns the id of the write by which an owner takes back the partitions of
// its handover.
func reclaimID(id string) string { return id + "/reclaim" }

// checkHandover updates the handover after rows were read.
func (c *Coordinator) checkHandover(now time.Time) {
	out := c.handovers.outgoing
	if out == nil {
		return
	}
	out.partitions = slices.DeleteFunc(out.partitions, func(hp messenger.HandoverPartition) bool {
		return c.recoverer.Phase(hp.Partition) != recoverer.PhaseStopped || c.recoverer.Epoch(hp.Partition) != hp.Epoch
	})
	if len(out.partitions) == 0 {
		// The peer learns of the rows from their revision, which the next frame to it
		// carries.
		c.handovers.outgoing = nil
		return
	}
	if out.state == outgoingOffered || out.state == outgoingAccepted {
		c.cancelIfPeerRemoved(now, out)
	}
}

// cancelIfPeerRemoved cancels the handover if the peer has no row any more.
func (c *Coordinator) cancelIfPeerRemoved(now time.Time, out *outgoing) {
	if _, ok := c.registrar.Entry(out.to); !ok {
		c.cancelHandover(now, out)
	}
}

// cancelHandover resumes partitions for which no write was requested.
func (c *Coordinator) cancelHandover(now time.Time, out *outgoing) {
	c.handovers.outgoing = nil
	if e := c.entries[out.to]; e != nil {
		e.pendingFrame().Handover = &messenger.Handover{ID: out.id, Step: messenger.HandoverCancel}
	}
	var resumed []messenger.PartitionEpoch
	for _, hp := range out.partitions {
		if c.recoverer.Phase(hp.Partition) == recoverer.PhaseStopped {
			c.recoverer.Resume(now, hp.Partition, hp.Epoch)
			resumed = append(resumed, messenger.PartitionEpoch{Partition: hp.Partition, Epoch: hp.Epoch})
		}
	}
	c.importJobs(now, out.jobs)
	c.fenceAll(resumed)
	c.releaseHeld(now)
	c.out.RoutesChanged = true
}

// resumeReclaimed activates a partition that this entry has taken back. It reports
// whether the row comes from such a reclaim.
func (c *Coordinator) resumeReclaimed(now time.Time, gained messenger.PartitionEpoch, id string) bool {
	out := c.handovers.outgoing
	if out == nil || id != reclaimID(out.id) || c.recoverer.Phase(gained.Partition) != recoverer.PhaseStopped {
		return false
	}
	c.recoverer.Resume(now, gained.Partition, gained.Epoch)
	c.importJobs(now, jobsInPartition(out.jobs, gained.Partition))
	return true
}

// receiveHandover applies a step of a handover.
func (c *Coordinator) receiveHandover(now time.Time, e *entryLink, h *messenger.Handover) {
	switch h.Step {
	case messenger.HandoverOffer:
		c.handovers.offers[h.ID] = &offer{from: e.peer, receivedAt: now, partitions: h.Partitions}
		c.receivePiece(e, h)
	case messenger.HandoverRecords:
		c.receivePiece(e, h)
	case messenger.HandoverNext:
		if out := c.handovers.outgoing; out != nil && out.id == h.ID && out.to == e.peer && out.piecesSent == h.Piece {
			e.pendingFrame().Handover = out.nextPiece(messenger.HandoverRecords, c.limits.HandoverPieceBytes)
		}
	case messenger.HandoverAccept:
		if out := c.handovers.outgoing; out != nil && out.id == h.ID && out.to == e.peer && out.state == outgoingOffered {
			out.state = outgoingAccepted
			c.propose(now)
		}
	case messenger.HandoverCancel:
		delete(c.handovers.offers, h.ID)
	}
}

// handoverPeerDown cancels the handover to a peer whose connection has ended if no
// write was requested yet, and drops incomplete offers from the peer.
func (c *Coordinator) handoverPeerDown(now time.Time, peer messenger.Peer) {
	for id, o := range c.handovers.offers {
		if o.from == peer && !o.complete {
			delete(c.handovers.offers, id)
		}
	}
	out := c.handovers.outgoing
	if out == nil || out.to != peer {
		return
	}
	if out.state == outgoingOffered || out.state == outgoingAccepted {
		c.cancelHandover(now, out)
	}
}

// tickHandover applies the passing of time to handovers.
func (c *Coordinator) tickHandover(now time.Time) {
	if out := c.handovers.outgoing; out != nil {
		switch {
		case out.state == outgoingOffered && !c.responsive(now, out.to):
			c.cancelHandover(now, out)
		case out.state == outgoingWriting && c.registrar.Idle():
			out.state = outgoingReclaim
		}
	}
	for id, o := range c.handovers.offers {
		if c.offerObsolete(now, o) {
			delete(c.handovers.offers, id)
		}
	}
}

// importJobs adds jobs with everything that their former owner knew. The tasks
// themselves come again with the requests that wait.
func (c *Coordinator) importJobs(now time.Time, jobs []messenger.HandoverJob) {
	for i := range jobs {
		c.owner.Import(now, jobs[i])
	}
}

func jobsInPartition(jobs []messenger.HandoverJob, p identifier.Partition) []messenger.HandoverJob {
	var out []messenger.HandoverJob
	for _, j := range jobs {
		if j.Job.Submission.Partition() == p {
			out = append(out, j)
		}
	}
	return out
}
