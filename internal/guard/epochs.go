package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// admit applies the agent's admission to the roster. The receivers of results stay
// as they are: an admission does not tell who the owners are.
func (g *Guard) admit(now time.Time, a *messenger.Admit) {
	g.admitted = !g.expelled && !g.transfer.started
	for p, epoch := range a.Epochs[:min(len(a.Epochs), identifier.Partitions)] {
		g.raise(identifier.Partition(p), epoch)
	}
	g.refuseWaiting(now)
}

// expel applies an operator's declaration that the agent is dead. Its tasks may by
// now have been started on other agents, so it starts nothing more.
func (g *Guard) expel(now time.Time) {
	g.expelled = true
	g.admitted = false
	g.refuseWaiting(now)
}

// fence raises epochs and answers with the records of the partitions. A fence with
// an epoch below the highest seen gets that epoch and no records. Waiting starts of
// the partitions are refused first: they are in no record, and the receiver of the
// records assumes that a task in no record has not started.
func (g *Guard) fence(now time.Time, from messenger.Peer, f *messenger.Fence) {
	g.refuseFenced(f)
	frame := g.frameTo(from)
	for _, p := range f.Partitions {
		if int(p.Partition) >= identifier.Partitions {
			continue
		}
		answer := messenger.Fenced{Partition: p.Partition}
		if !g.Rules.StaleEpoch(p.Epoch, g.epochs[p.Partition]) {
			g.raise(p.Partition, p.Epoch)
			g.resultReceivers[p.Partition] = from
			if g.Rules.ReportRecords() {
				answer.Records = append(g.records.messages(p.Partition, f.UnsettledOnly),
					g.transferred.messages(p.Partition, f.UnsettledOnly)...)
			}
		}
		answer.Epoch = g.epochs[p.Partition]
		frame.Fenced = append(frame.Fenced, answer)
	}
	g.refuseWaiting(now)
}

// raise raises the epoch of a partition and marks it to be reported on every
// connection.
func (g *Guard) raise(p identifier.Partition, epoch uint64) {
	if epoch <= g.epochs[p] {
		return
	}
	g.epochs[p] = epoch
	for _, entry := range g.entryOrder {
		g.entries[entry].raised.add(p)
	}
}

// takeRaised returns the raised epochs not yet reported on a connection and clears
// them.
func (g *Guard) takeRaised(c *connection) []messenger.PartitionEpoch {
	if c.raised.empty() {
		return nil
	}
	var out []messenger.PartitionEpoch
	for p, epoch := range g.epochs {
		if c.raised.has(identifier.Partition(p)) {
			out = append(out, messenger.PartitionEpoch{Partition: identifier.Partition(p), Epoch: epoch})
		}
	}
	c.raised = partitionSet{}
	return out
}

// Epochs returns a copy of the highest epochs seen, indexed by partition.
func (g *Guard) Epochs() []uint64 {
	out := make([]uint64, identifier.Partitions)
	copy(out, g.epochs[:])
	return out
}

// refuseFenced refuses the waiting starts of the partitions that a fence takes over.
func (g *Guard) refuseFenced(f *messenger.Fence) {
	if g.waiting.len() == 0 {
		return
	}
	var fenced [identifier.Partitions]uint64
	for _, p := range f.Partitions {
		if int(p.Partition) < identifier.Partitions && !g.Rules.StaleEpoch(p.Epoch, g.epochs[p.Partition]) {
			fenced[p.Partition] = p.Epoch
		}
	}
	g.waiting.filter(func(p *pending) bool {
		epoch := fenced[p.ref.Submission.Partition()]
		if epoch == 0 || p.start.Epoch > epoch {
			return true
		}
		refusal := messenger.RefusalFenced
		if g.Rules.StaleEpoch(p.start.Epoch, epoch) {
			refusal = messenger.RefusalStaleEpoch
		}
		g.refuse(p, refusal)
		g.releaseCredit(p)
		return false
	})
}
