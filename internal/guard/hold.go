package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// waits reports whether what is owed to an entry may wait for more to go with
// it, and until when. It may wait as long as no job is answered later for it:
//   - an echo of a message that brought starts rides on their results; a message
//     without starts asks for nothing but the echo and gets it at once, and so
//     does an entry that waits for a credit;
//   - results of a submission of which a task still runs here wait for that task,
//     since the job cannot be complete before it ends.
//
// Both waits are bounded by the limits, for leases and for the credits that
// results give back.
func (g *Guard) waits(now time.Time, l *link) (until time.Time, ok bool) {
	switch {
	case l.prompt:
		return now, false
	case l.frame == nil:
		until = l.owed.Add(g.limits.EchoFor)
	case g.mayWait(l.frame):
		until = l.framed.Add(g.limits.HoldFor)
	default:
		return now, false
	}
	return until, now.Before(until)
}

// mayWait reports whether a frame has nothing but successful results of
// submissions that have tasks running here, and credits that nobody waits for.
func (g *Guard) mayWait(f *messenger.Frame) bool {
	if f.Capacity != nil || len(f.Fenced) > 0 || len(f.CancelAcks) > 0 {
		return false
	}
	for i := range f.Results {
		r := &f.Results[i]
		rec := g.records.get(r.Submission.Partition(), r.Submission)
		if rec == nil || len(rec.running) == 0 || !allDone(r.Tasks) {
			return false
		}
	}
	return len(f.Results) > 0
}

func allDone(results []messenger.TaskResult) bool {
	for i := range results {
		if results[i].Kind != messenger.ResultDone {
			return false
		}
	}
	return true
}

// contact notes a ping and whether its echo may wait.
func (l *link) contact(now time.Time, f *messenger.Frame) {
	if f.Contact == nil || f.Contact.Ping <= l.ping {
		return
	}
	l.ping = f.Contact.Ping
	if len(f.Starts) == 0 {
		l.prompt = true
	}
	l.owe(now)
}

// owe notes since when an echo or a frame is owed to the entry.
func (l *link) owe(now time.Time) {
	if l.owed.IsZero() {
		l.owed = now
	}
	if l.frame != nil && l.framed.IsZero() {
		l.framed = now
	}
}

// paid clears what was owed when a frame goes out.
func (l *link) paid() {
	l.echoed = l.ping
	l.frame = nil
	l.prompt = false
	l.owed = time.Time{}
	l.framed = time.Time{}
}
