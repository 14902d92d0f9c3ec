package runner

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Question is what the upstream must be asked next.
type PollRequest struct {
	Incarnation Incarnation
	LastEnd     int64 // Seen is the number of the latest end that was taken note of.
	// Renew is the time to which the lease is to be extended; 0 leaves it as it is.
	LeaseUntil time.Duration
}

// Ask returns what the upstream must be asked now. The lease is not renewed while a
// stop is without an answer for long: then everything ends with it.
func (r *Runner) NextPoll(now time.Duration) PollRequest {
	q := PollRequest{Incarnation: r.incarnation, LastEnd: r.lastEnd}
	if len(r.orphans) > 0 {
		return q
	}
	for _, t := range r.tasks {
		if t.state == stateStopping && now-t.stoppedAt > r.limits.MaxStopPending {
			return q
		}
	}
	q.LeaseUntil = now + r.limits.LeaseDuration
	r.extendLease(q.LeaseUntil)
	return q
}

// maxMisses is how many questions in a row may be without an answer until nothing
// more is started: single ones are lost.
const maxFailedPolls = 3

func (r *Runner) extendLease(to time.Duration) { r.leaseEnds = max(r.leaseEnds, to) }

// Unanswered takes the failure of a question. If the upstream is closed, nothing
// listens at its address.
func (r *Runner) PollFailed(now time.Duration, closed bool) {
	if closed {
		if len(r.tasks) > 0 {
			r.logDecision(Decision{Event: "upstream-closed"})
		}
		r.endAll(now)
		clear(r.orphans)
		r.leaseEnds = 0
	}
	r.failedPolls++
	if !r.silent && (closed || r.failedPolls >= maxFailedPolls) {
		r.logDecision(Decision{Event: "upstream-silent"})
		r.silent = true
		r.recordOutage(now)
		r.requestReports()
	}
}

// fell notes that the upstream has fallen silent or ended.
func (r *Runner) recordOutage(now time.Duration) {
	if now-r.lastOutage > faultMemory {
		r.outages = 0
	}
	r.outages++
	r.lastOutage = now
}

// Take returns what must be done since the last call.
func (r *Runner) Take(now time.Duration) Output {
	r.closeSilentSessions(now)
	r.checkLease(now)
	r.retryStops(now)
	r.startWaiting(now)
	r.report(now)
	out := r.out
	r.out = Output{}
	return out
}

func (r *Runner) closeSilentSessions(now time.Duration) {
	for _, peer := range sortedPeers(r.sessions) {
		if s := r.sessions[peer]; r.sinceEcho(now, s) > r.limits.LivenessTimeout {
			r.closeSilent(now, s)
		}
	}
}

// checkLease ends what must have ended because the lease was not renewed.
func (r *Runner) checkLease(now time.Duration) {
	if r.leaseEnds == 0 || now < r.leaseEnds+r.limits.LeaseDuration/clockSkewDivisor+leaseMargin {
		return
	}
	r.leaseEnds = 0
	lost := false
	for _, t := range r.sortedTasks() {
		if t.state == stateWaiting {
			continue
		}
		lost = true
		// A start that was held up on its way may still be carried out. Its room
		// stays charged until a stop is acknowledged.
		if t.state == stateStarting || t.state == stateStopping && t.kind == messenger.EndUnresolved {
			continue
		}
		r.end(now, t, t.lostKind())
	}
	if lost {
		r.logDecision(Decision{Event: "lease-lapsed"})
	}
}

// leaseMargin is added to the end of a lease for the way of the last renewal.
const leaseMargin = 50 * time.Millisecond

func (r *Runner) retryStops(now time.Duration) {
	for _, t := range r.sortedTasks() {
		if t.state == stateStopping && now >= t.retryAt {
			r.sendStop(now, t)
		}
	}
	for _, ref := range slices.SortedFunc(maps.Keys(r.orphans), messenger.TaskRef.Compare) {
		r.out.Stops = append(r.out.Stops, StopCall{Incarnation: r.incarnation, Task: ref, Run: r.orphans[ref]})
	}
}

// startWaiting starts what fits, the most urgent first.
func (r *Runner) startWaiting(now time.Duration) {
	if len(r.waiting) == 0 {
		return
	}
	st := r.State(now)
	if st == messenger.RunnerAbsent || st == messenger.RunnerLeaving {
		r.returnWaiting(now)
		return
	}
	for _, t := range slices.Clone(r.waiting) {
		switch {
		case now > t.StartBy || st == messenger.RunnerSuspect && !t.AllowSuspect:
			r.end(now, t, messenger.EndReturned)
		case r.mayStart(t, st):
			r.start(now, t)
		}
	}
}

func (r *Runner) mayStart(t *task, st messenger.RunnerState) bool {
	if st == messenger.RunnerProbing && !t.AllowSuspect && len(r.tasks)-len(r.waiting) >= probeTasks {
		return false
	}
	return r.used.Add(t.Resources).Fits(r.upstream.Capacity)
}

func (r *Runner) start(now time.Duration, t *task) {
	i := slices.Index(r.waiting, t)
	r.waiting = slices.Delete(r.waiting, i, i+1)
	t.state = stateStarting
	t.startedAt = now
	r.used = r.used.Add(t.Resources)
	r.extendLease(now + r.limits.LeaseDuration)
	r.out.Starts = append(r.out.Starts, StartCall{Incarnation: r.incarnation, Task: t.Task, Run: t.Run, Payload: t.Payload})
}

// report makes the frames for the entries that must hear something.
func (r *Runner) report(now time.Duration) {
	reportEvery := r.limits.LoadReportInterval * time.Duration(max(1, len(r.sessions)))
	for _, peer := range sortedPeers(r.sessions) {
		s := r.sessions[peer]
		since := now - s.sentAt
		due := since >= reportEvery && (s.reportDue || s.loadChanged && r.reportOutdated(s))
		beatEvery := r.limits.HeartbeatInterval
		if s.idleFor(now, r.limits.IdleThreshold) {
			beatEvery = max(beatEvery, r.limits.IdleHeartbeatInterval)
		}
		if len(s.ends) == 0 && since < beatEvery && !due {
			continue
		}
		f := &messenger.Frame{Ends: s.ends, Stamp: &messenger.Stamp{Clock: now, Echo: s.entryStamp}}
		if s.reportDue || s.loadChanged {
			f.Load = r.load(now, s)
			s.reportedLoad = f.Load.Used.Add(f.Load.Queued)
		}
		s.ends, s.reportDue, s.loadChanged, s.sentAt = nil, false, false, now
		r.out.Sends = append(r.out.Sends, Send{To: peer, Frame: f})
	}
}

// moveShare and freeShare say by how much what an entry knows of the room in use may be
// wrong until it is told, as divisors of the capacity and of what is free: where little
// is free, each task matters.
const (
	capacityDivisor = 8
	freeDivisor     = 4
)

// strayed reports whether what an entry knows of the room in use is too far off.
func (r *Runner) reportOutdated(s *session) bool {
	if r.upstream == nil {
		return true
	}
	occupied, c := r.used.Add(r.queued()), r.upstream.Capacity
	d, free := occupied.Sub(s.reportedLoad), c.Sub(occupied)
	return significant(d.MilliCPU, c.MilliCPU, free.MilliCPU) || significant(d.MemoryBytes, c.MemoryBytes, free.MemoryBytes) ||
		significant(d.Accelerators, c.Accelerators, free.Accelerators)
}

// far reports whether a difference is large beside the capacity or what is free.
func significant(difference, capacity, free int64) bool {
	d := max(difference, -difference)
	return d > 0 && (d*capacityDivisor >= capacity || d*freeDivisor >= free)
}

// queued returns the room that is asked for by what waits.
func (r *Runner) queued() messenger.Resources {
	var sum messenger.Resources
	for _, t := range r.waiting {
		sum = sum.Add(t.Resources)
	}
	return sum
}

func (r *Runner) load(now time.Duration, s *session) *messenger.Load {
	l := &messenger.Load{
		Incarnation: r.incarnation.String(), State: r.State(now), Used: r.used, Queued: r.queued(), LaunchesReceived: s.launchesReceived, RelativeRunTimePercent: r.health.slowdownPercent(now),
	}
	if r.upstream != nil {
		l.Service, l.Capacity, l.Labels = r.upstream.Service, r.upstream.Capacity, r.upstream.Labels
	}
	return l
}

func sortedPeers(sessions map[messenger.Peer]*session) []messenger.Peer {
	return slices.Sorted(maps.Keys(sessions))
}
