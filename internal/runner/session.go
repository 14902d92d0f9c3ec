package runner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// session is one connection to an entry.
type session struct {
	peer             messenger.Peer
	openedAt         time.Duration
	echoed           time.Duration // echoed is the latest stamp of this runner that the entry has echoed.
	entryStamp       time.Duration // entryStamp is the latest stamp of the entry.
	launchesReceived uint64        // launchesReceived counts the launches received on the connection.
	ends             []messenger.End
	crashes          []*crash           // crashes have not been reported to the entry.
	outstanding      []outstandingStart // outstanding have not been reported to the entry.
	tasks            int                // tasks counts the tasks that the session owns.
	// idleSince is when the last task of the session ended; resumedAt is when a task
	// came after an idle time.
	idleSince, resumedAt time.Duration
	// wokenAt is when the first task after an idle time came that the entry had sent as such, so
	// that its latest start bounds its delay.
	wokenAt     time.Duration
	reportDue   bool // reportDue is set if the load must be reported to the entry soon.
	loadChanged bool // loadChanged is set if the load has changed since the last report.
	// reportedLoad is the resources in use or requested as known to the entry: the last
	// report and the entry's own launches since.
	reportedLoad messenger.Resources
	sentAt       time.Duration // sentAt is when the latest frame was sent.
	closed       bool          // closed is set once the session has ended.
	// waiting is what waits at the entry, by its latest stamp; nothing after an offer in vain. credit is how
	// much less than its share the session was offered, in thousandths of a core.
	waiting messenger.Resources
	credit  float64
	offers  []offer // offers are those that have not ended, the oldest first.
	// reportAtOnce is set if the load must be reported to the entry at once because of an offer.
	reportAtOnce bool
}

// EntryUp begins the session of an entry.
func (r *Runner) EntryUp(now time.Duration, peer messenger.Peer) {
	r.sessions[peer] = &session{peer: peer, openedAt: now, echoed: now, idleSince: now - r.limits.IdleThreshold, reportDue: true, crashes: r.crashes.recentAt(now), outstanding: r.recentOutstanding(now)}
}

// EntryDown ends the session of an entry and stops its tasks.
func (r *Runner) EntryDown(now time.Duration, peer messenger.Peer) {
	if s := r.sessions[peer]; s != nil {
		r.closeSession(now, s, "connection-ended")
	}
}

// MayConnect reports whether nothing is left of ended sessions or of an earlier process, so
// that an entry may be connected: it takes a new connection as proof that its earlier runs
// at this upstream have ended.
func (r *Runner) MayConnect(now time.Duration) bool {
	for _, t := range r.tasks {
		if t.session.closed {
			return false
		}
	}
	return len(r.orphans) == 0 && (r.listed || now >= r.earlierLease.expires)
}

func (r *Runner) closeSession(now time.Duration, s *session, reason string) {
	if s.closed {
		return
	}
	s.closed = true
	delete(r.sessions, s.peer)
	r.endOffers(s, now, messenger.Resources{})
	if s.tasks > 0 {
		r.logDecision(Decision{Event: "session-tasks-stopped", Reason: reason, Age: now - s.echoed})
	}
	for _, t := range r.sortedTasks() {
		if t.session == s {
			r.stop(now, t, messenger.EndWithdrawn, reason)
		}
	}
}

// Receive applies a frame from an entry.
func (r *Runner) Receive(now time.Duration, peer messenger.Peer, f *messenger.Frame) {
	s := r.sessions[peer]
	if s == nil {
		return
	}
	if f.Stamp != nil {
		s.entryStamp = max(s.entryStamp, f.Stamp.Clock)
		s.echoed = max(s.echoed, f.Stamp.Echo)
		s.waiting = f.Stamp.Waiting
	}
	if r.sinceEcho(now, s) > r.limits.LivenessTimeout {
		// A frame that was delayed in transit must not start anything.
		r.closeUnresponsive(now, s)
		return
	}
	for i := range f.Withdraws {
		r.withdraw(now, s, &f.Withdraws[i])
	}
	var launched messenger.Resources
	for i := range f.Launches {
		s.launchesReceived++
		if r.launch(now, s, &f.Launches[i]) {
			launched = launched.Add(f.Launches[i].Resources)
		}
	}
	// An entry that has received an offer uses what it can in its next frame.
	r.endOffers(s, s.echoed, launched)
	s.loadChanged = s.loadChanged || len(f.Launches) > 0
}

// idleFor reports whether the session has had no task for at least d.
func (s *session) idleFor(now, d time.Duration) bool { return s.tasks == 0 && now-s.idleSince >= d }

// sinceEcho returns the time since the latest echo of the entry, less the idle heartbeat
// interval while the session is idle. The first task after an idle period counts as an
// echo: it carries its latest start time, so that a task that was delayed in transit does
// not start.
func (r *Runner) sinceEcho(now time.Duration, s *session) time.Duration {
	d := now - max(s.echoed, s.resumedAt)
	if s.idleFor(now, r.limits.IdleThreshold/2) {
		d -= r.limits.IdleHeartbeatInterval
	}
	return d
}

// contact returns the time of the latest contact of the entry: it had received the echoed stamp,
// or had sent the first task after an idle time.
func (s *session) contact() time.Duration { return max(s.echoed, s.wokenAt-maxWakeDelay) }

// maxWakeDelay is the longest time from the sending of the first task after an idle time to its
// arrival, which its latest start bounds: 150 ms, the drift of the clocks, and a margin.
const maxWakeDelay = 250 * time.Millisecond

func (r *Runner) closeUnresponsive(now time.Duration, s *session) {
	r.logDecision(Decision{Event: "entry-silent", Reason: string(s.peer), Age: now - s.echoed})
	r.closeSession(now, s, "entry-silent")
	r.out.Closes = append(r.out.Closes, s.peer)
}

func (r *Runner) launch(now time.Duration, s *session, l *messenger.Launch) (accepted bool) {
	t := &task{Launch: *l, session: s, state: stateWaiting, arrivedAt: now}
	refuseAs := func(kind messenger.EndKind, reason string) {
		r.logDecision(Decision{Event: "task-returned", Task: l.Task, Run: l.Run, Reason: reason, Age: now - s.echoed})
		s.returnLaunch(l.Task, l.Run, kind)
	}
	refuse := func(reason string) { refuseAs(messenger.EndReturned, reason) }
	st := r.State(now)
	switch {
	case r.tasks[l.Task] != nil, r.hasOrphan(l.Task):
		r.hold(now, s, l)
	case now > l.StartBy, !l.First && now-max(s.echoed, s.resumedAt) > r.limits.LivenessTimeout:
		refuse("delayed")
	case l.Incarnation != r.incarnation.String() || r.upstream == nil || r.upstream.Service != l.Service:
		refuse("other-upstream")
	case r.evacuation != evacuationNone:
		refuseAs(messenger.EndEvacuated, string(r.evacuation))
	case st != messenger.RunnerReady && st != messenger.RunnerProbing && !(l.AllowSuspect && st == messenger.RunnerSuspect):
		refuse(string(st))
	case !l.Resources.Fits(r.upstream.Capacity):
		refuse("too-large")
	default:
		if s.idleFor(now, r.limits.IdleThreshold/2) {
			s.resumedAt = now
			if l.First {
				s.wokenAt = now
			}
		}
		r.tasks[l.Task] = t
		s.tasks++
		at, _ := slices.BinarySearchFunc(r.waiting, t, compareUrgency)
		r.waiting = slices.Insert(r.waiting, at, t)
		s.reportedLoad = s.reportedLoad.Add(l.Resources)
		r.markLoadChanged()
		return true
	}
	return false
}

// heldLaunch is a launch that is returned when an earlier run of its task has ended.
type heldLaunch struct {
	session *session
	run     uint64
}

// hold holds a launch until the earlier run of its task has ended, and stops that run.
func (r *Runner) hold(now time.Duration, s *session, l *messenger.Launch) {
	r.logDecision(Decision{Event: "task-held", Task: l.Task, Run: l.Run, Reason: "runs-already", Age: now - s.echoed})
	r.held[l.Task] = append(r.held[l.Task], heldLaunch{session: s, run: l.Run})
	if t := r.tasks[l.Task]; t != nil {
		r.stop(now, t, messenger.EndWithdrawn, "launched-again")
	}
}

// releaseHeld returns the launches of a task to their entries, unless another run of it goes on.
func (r *Runner) releaseHeld(ref messenger.TaskRef) {
	if r.tasks[ref] != nil || r.hasOrphan(ref) {
		return
	}
	for _, h := range r.held[ref] {
		h.session.returnLaunch(ref, h.run, messenger.EndReturned)
	}
	delete(r.held, ref)
}

// returnLaunch tells the entry that a launch was not started, unless the session has ended.
func (s *session) returnLaunch(ref messenger.TaskRef, run uint64, kind messenger.EndKind) {
	if !s.closed {
		s.ends = append(s.ends, messenger.End{Task: ref, Run: run, Kind: kind, Proof: messenger.ProofNotStarted})
	}
}

// hasOrphan reports whether a run of a task is an orphan.
func (r *Runner) hasOrphan(ref messenger.TaskRef) bool {
	for o := range r.orphans {
		if o.task == ref {
			return true
		}
	}
	return false
}

func (r *Runner) removeOrphan(o listedRun) {
	delete(r.orphans, o)
	r.releaseHeld(o.task)
	if len(r.orphans) == 0 {
		r.logDecision(Decision{Event: "strays-gone"})
		r.requestReports()
	}
}

func (r *Runner) clearOrphans() {
	for o := range r.orphans {
		r.removeOrphan(o)
	}
}

func compareUrgency(a, b *task) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Urgency, b.Urgency), a.Task.Compare(b.Task))
}

func (r *Runner) withdraw(now time.Duration, s *session, w *messenger.Withdraw) {
	t := r.tasks[w.Task]
	if t == nil || t.Run != w.Run || t.session != s {
		// The end is in flight, or the launch was refused.
		return
	}
	r.stop(now, t, messenger.EndWithdrawn, "withdrawn")
}

// requestReports makes a load report due for every entry.
func (r *Runner) requestReports() {
	for _, s := range r.sessions {
		s.reportDue = true
	}
}

// markLoadChanged records for every entry that the resources in use or requested have
// changed.
func (r *Runner) markLoadChanged() {
	for _, s := range r.sessions {
		s.loadChanged = true
	}
}
