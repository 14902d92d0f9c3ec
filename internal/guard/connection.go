package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// connection is the state of the connection to an entry.
type connection struct {
	frame        *messenger.Frame // frame collects what the next Take sends; nil if there is nothing.
	ping         uint64
	echoed       uint64
	echoAtOnce   bool      // echoAtOnce is set if the entry sent a ping without starts.
	echoDueSince time.Time // echoDueSince is zero if no echo is pending.
	delayed      []delayedResult
	delayedSince time.Time    // delayedSince is when the oldest delayed result was added.
	backlog      int          // backlog is the number of tasks that wait at the entry, as last reported.
	raised       partitionSet // raised has the partitions whose epoch rose since the last frame sent.
}

// EntryUp adds a connection to an entry. The first frame on it lists all epochs as
// raised, because the epochs in the hello may be outdated by then.
func (g *Guard) EntryUp(_ time.Time, entry messenger.Peer) {
	if _, ok := g.entries[entry]; !ok {
		g.entryOrder = append(g.entryOrder, entry)
	}
	c := &connection{}
	g.entries[entry] = c
	for p, epoch := range g.epochs {
		if epoch > 0 {
			c.raised.add(identifier.Partition(p))
		}
	}
	g.dropWaiting(entry)
	g.releaseEntry(entry)
	g.resources.credits.EntryUp(entry)
	g.frameTo(entry).Capacity = g.capacity()
}

// EntryDown removes the connection to an entry. Its starts that wait are
// dropped: the entry asks for the records when it reconnects.
func (g *Guard) EntryDown(_ time.Time, entry messenger.Peer) {
	delete(g.entries, entry)
	for i, p := range g.entryOrder {
		if p == entry {
			g.entryOrder = append(g.entryOrder[:i], g.entryOrder[i+1:]...)
			break
		}
	}
	g.dropWaiting(entry)
	g.releaseEntry(entry)
	g.transfer.entryDown(entry)
}

// dropWaiting drops the waiting starts of an entry and releases their credits.
func (g *Guard) dropWaiting(entry messenger.Peer) {
	g.waiting.filter(func(p *pending) bool {
		if p.from != entry {
			return true
		}
		g.releaseCredit(p)
		return false
	})
}

// frameTo returns the frame that collects what is sent to a connected entry.
func (g *Guard) frameTo(entry messenger.Peer) *messenger.Frame {
	c := g.entries[entry]
	if c.frame == nil {
		c.frame = &messenger.Frame{}
	}
	return c.frame
}

// sendResult sends or delays a result for the receiver of the submission's
// partition.
func (g *Guard) sendResult(now time.Time, s identifier.Submission, result messenger.TaskResult) {
	to := g.resultReceivers[s.Partition()]
	if g.entries[to] != nil && !g.delayResult(now, to, s, result) {
		g.addResult(to, s, result)
	}
}

func (g *Guard) addResult(to messenger.Peer, s identifier.Submission, result messenger.TaskResult) {
	if g.entries[to] == nil {
		return
	}
	f := g.frameTo(to)
	if n := len(f.Results); n > 0 && f.Results[n-1].Submission == s {
		f.Results[n-1].Tasks = append(f.Results[n-1].Tasks, result)
		return
	}
	f.Results = append(f.Results, messenger.Result{Submission: s, Tasks: []messenger.TaskResult{result}})
}
