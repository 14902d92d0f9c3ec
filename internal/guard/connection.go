package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// link is what the guard keeps for a connected entry.
type connection struct {
	frame        *messenger.Frame // frame gathers what goes out at the next Take; nil if nothing does.
	ping         uint64
	echoed       uint64
	echoAtOnce   bool      // prompt means that the entry waits for an echo alone.
	echoDueSince time.Time // owed is since when an echo is owed; zero if none is.
	delayed      []delayedResult
	delayedSince time.Time    // heldSince is when the oldest of held was added.
	backlog      int          // backlog is how many tasks wait at the entry, as it last said.
	raised       partitionSet // raised has the partitions whose epoch rose since the last contact.
}

// EntryUp adds a connection to an entry. Its first frame lists all epochs as
// raised, because a hello may be older than the connection.
func (g *Guard) EntryUp(_ time.Time, entry messenger.Peer) {
	if _, ok := g.entries[entry]; !ok {
		g.entryOrder = append(g.entryOrder, entry)
	}
	l := &connection{}
	g.entries[entry] = l
	for p, epoch := range g.epochs {
		if epoch > 0 {
			l.raised.add(identifier.Partition(p))
		}
	}
	g.dropWaiting(entry)
	g.releaseEntry(entry)
	g.resources.credits.EntryUp(entry)
	g.frameTo(entry).Capacity = g.capacity()
}

// EntryDown removes the connection to an entry. Its starts that wait are
// dropped: the entry asks for the records when it is back.
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

// dropWaiting drops the waiting starts of an entry and frees their credits.
func (g *Guard) dropWaiting(entry messenger.Peer) {
	g.waiting.filter(func(p *pending) bool {
		if p.from != entry {
			return true
		}
		g.releaseCredit(p)
		return false
	})
}

// frameTo returns the frame that gathers what goes to a connected entry.
func (g *Guard) frameTo(entry messenger.Peer) *messenger.Frame {
	l := g.entries[entry]
	if l.frame == nil {
		l.frame = &messenger.Frame{}
	}
	return l.frame
}

// sendResult sends a result to the holder of the submission's partition.
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
