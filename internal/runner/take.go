package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// PollRequest asks the upstream for the list of its runs, and may renew the lease.
type PollRequest struct {
	Incarnation Incarnation
	// LastEnd is the number of the latest end that was processed, or 0 if a restarted upstream
	// may answer. It lets the upstream forget the ends up to that one.
	LastEnd int64
	// LeaseUntil is the time to which the lease is to be extended; 0 does not renew it.
	LeaseUntil time.Duration
	// AtOnce asks for an answer without a wait, because nothing is known of the runs.
	AtOnce bool
}

// NextPoll returns the poll to send to the upstream now. The lease is not renewed while
// orphans are left or unknown, without an announced upstream, after a failed poll, or while a
// stop has been unanswered for longer than MaxStopPending; when the lease then expires, all
// runs end.
func (r *Runner) NextPoll(now time.Duration) PollRequest {
	if r.failedPolls == 0 && r.polledAt > 0 && now-r.polledAt > latePoll {
		r.longLeaseUntil = now + longLeaseTime
	}
	r.polledAt = now
	r.leaseBeforePoll = r.lease
	q := PollRequest{Incarnation: r.incarnation, LastEnd: r.lastEnd, AtOnce: !r.answered || r.failedPolls > 0}
	if q.AtOnce {
		// The upstream may have restarted, and number its ends from 1 again.
		q.LastEnd = 0
	}
	if !r.listed || r.upstream == nil || len(r.orphans) > 0 {
		return q
	}
	if r.stopOverdue(now) {
		return q
	}
	q.LeaseUntil = r.extendLease(now)
	return q
}

// stopOverdue reports whether a stop has been unanswered for longer than MaxStopPending. The
// lease is not renewed then, by a poll or a start, so that the run ends with it.
func (r *Runner) stopOverdue(now time.Duration) bool {
	for _, t := range r.tasks {
		if t.state == stateStopping && !t.lapsed && now-t.stoppedAt > r.limits.MaxStopPending {
			return true
		}
	}
	return false
}

// maxFailedPolls is the number of polls in a row that must fail before no more tasks
// are started, because single polls get lost.
const maxFailedPolls = 3

const (
	// latePoll is the longest time from one poll to the next if the first is answered in time:
	// the upstream waits 60 ms with its answer.
	latePoll = 130 * time.Millisecond
	// longLeaseTime is how long leases stay long after a lost or late poll.
	longLeaseTime = 5 * time.Second
)

// leaseDuration returns the duration of a lease that begins now. It is long while polls are
// lost or late, so that one more of them does not end all runs.
func (r *Runner) leaseDuration(now time.Duration) time.Duration {
	if now < r.longLeaseUntil {
		return r.limits.LeaseDuration
	}
	return r.limits.ShortLeaseDuration
}

// lease is a lease of all runs of an upstream. It is zero if there is none.
type lease struct {
	until   time.Duration // until is when the upstream ends all runs, if its clock is right.
	expires time.Duration // expires is when the runs have ended, even if its clock is slow.
}

// newLease returns a lease of the given duration that begins now.
func newLease(now, d time.Duration) lease {
	return lease{until: now + d, expires: now + d + d/clockSkewDivisor + leaseMargin}
}

// leaseMargin is added to the end of a lease for the time until the runs have ended.
const leaseMargin = 50 * time.Millisecond

// contactExpiry returns when the first run for an entry must have ended if there is no further
// contact with that entry. It returns false if there is no run.
func (r *Runner) contactExpiry() (expiry time.Duration, ok bool) {
	for _, t := range r.tasks {
		if t.state == stateWaiting || t.state == stateStopped || t.lapsed {
			continue
		}
		contact := t.session.contact()
		if t.state == stateStopping {
			contact = t.lastContact
		}
		if e := contact + r.limits.ContactExpiry; !ok || e < expiry {
			expiry, ok = e, true
		}
	}
	return expiry, ok
}

// longestLease returns the duration of a lease that begins now. It may be negative: no lease is
// short enough then for a run whose entry has had no contact.
func (r *Runner) longestLease(now time.Duration) time.Duration {
	d := r.leaseDuration(now)
	if expiry, ok := r.contactExpiry(); ok {
		d = min(d, (expiry-now-leaseMargin)*clockSkewDivisor/(clockSkewDivisor+1))
	}
	return d
}

// extendLease begins a lease, unless a longer one is left, and returns when it ends; 0 if none
// may begin. After a failed poll it is not extended: the upstream may have crashed. A call that
// arrives then still keeps the runs until the time by which they count as ended.
func (r *Runner) extendLease(now time.Duration) (until time.Duration) {
	if r.failedPolls > 0 && (r.silent || r.lease.until > now) {
		return r.lease.until
	}
	d := r.longestLease(now)
	if d <= 0 {
		return 0
	}
	l := newLease(now, d)
	if l.until > r.lease.until {
		r.lease = l
	}
	return l.until
}

// PollFailed applies the failure of a poll. If refused is set, the upstream's address has
// refused the connection. The upstream has probably crashed, but it may also be cut off and
// run on, so the runs there end with the lease.
func (r *Runner) PollFailed(now time.Duration, refused bool) {
	r.failedPolls++
	if !r.silent && (refused || r.failedPolls >= maxFailedPolls) {
		reason := "unanswered"
		if refused {
			reason = "refused"
		}
		r.logDecision(Decision{Event: "upstream-silent", Reason: reason})
		r.silent = true
		r.recordOutage(now)
		r.requestReports()
	}
	if refused {
		// The poll has not arrived, so it has not extended the lease.
		if r.startedAt < r.polledAt {
			r.lease = r.leaseBeforePoll
		}
		r.assumeCrash(now, now, "refused")
	}
}

// recordOutage records that the upstream has stopped answering polls or has restarted.
func (r *Runner) recordOutage(now time.Duration) {
	if now-r.lastOutage > faultMemory {
		r.outages = 0
	}
	r.outages++
	r.lastOutage = now
}

// Take returns the actions that have become due since the last call.
func (r *Runner) Take(now time.Duration) Output {
	r.closeUnresponsiveSessions(now)
	r.checkLease(now)
	r.retryStops(now)
	r.advanceWarmUp(now)
	r.warnIfUnknown(now)
	r.startWaiting(now)
	r.offerFreed(now)
	r.report(now)
	out := r.out
	r.out = Output{}
	return out
}

func (r *Runner) closeUnresponsiveSessions(now time.Duration) {
	for _, peer := range sortedPeers(r.sessions) {
		if s := r.sessions[peer]; r.sinceEcho(now, s) > r.limits.LivenessTimeout {
			r.closeUnresponsive(now, s)
		}
	}
}

// checkLease ends the tasks whose runs must have ended because the lease expired.
func (r *Runner) checkLease(now time.Duration) {
	if now < r.earlierLease.expires || now < r.lease.expires {
		return
	}
	if r.silent {
		r.clearOrphans()
	}
	if r.lease == (lease{}) {
		return
	}
	r.lease = lease{}
	if r.silent {
		// The upstream was last known to be alive when it listed its runs.
		r.assumeCrash(now, r.listedAt, "unanswered")
	}
	kind := messenger.EndLost
	if r.crashes.assumed != nil {
		kind = messenger.EndCrashed
	}
	lost := false
	for _, t := range r.sortedTasks() {
		if t.state == stateWaiting {
			continue
		}
		lost = true
		// A start that was delayed in transit may still be executed. Its resources
		// stay charged until a stop is acknowledged.
		if !t.settled {
			t.lapsed = true
			if t.state == stateRunning {
				r.stop(now, t, kind, "lease-lapsed")
			}
			continue
		}
		r.end(now, t, cmp.Or(t.kind, kind), messenger.ProofLeaseExpired)
	}
	if lost {
		r.logDecision(Decision{Event: "lease-lapsed"})
	}
}

func (r *Runner) retryStops(now time.Duration) {
	for _, t := range r.sortedTasks() {
		if t.state == stateStopping && now >= t.retryAt {
			r.sendStop(now, t)
		}
	}
	if len(r.orphans) == 0 || now < r.orphansRetryAt {
		return
	}
	r.orphansRetryAt = now + r.limits.StopRetryInterval
	for _, o := range slices.SortedFunc(maps.Keys(r.orphans), compareListedRuns) {
		r.out.Stops = append(r.out.Stops, StopCall{Incarnation: r.incarnation, Task: o.task, Run: o.run})
	}
}

// startWaiting starts the waiting tasks that fit, the most urgent first.
func (r *Runner) startWaiting(now time.Duration) {
	if len(r.waiting) == 0 {
		return
	}
	st := r.State(now)
	switch {
	case st == messenger.RunnerAbsent || st == messenger.RunnerLeaving:
		r.returnWaiting(now)
		return
	case r.evacuation != evacuationNone:
		r.returnWaitingAs(now, messenger.EndEvacuated)
		return
	}
	overdue := r.stopOverdue(now)
	for _, t := range slices.Clone(r.waiting) {
		switch {
		case now > t.StartBy || st == messenger.RunnerSuspect && !t.AllowSuspect:
			r.end(now, t, messenger.EndReturned, messenger.ProofNotStarted)
		case !overdue && r.mayStart(now, t, st):
			r.start(now, t)
		case now-t.arrivedAt > t.MaxWait:
			r.end(now, t, messenger.EndReturned, messenger.ProofNotStarted)
		}
	}
}

func (r *Runner) mayStart(now time.Duration, t *task, st messenger.RunnerState) bool {
	if r.lease.expires > t.session.contact()+r.limits.ContactExpiry || r.longestLease(now) <= 0 {
		// This run, or another one, would not have ended in time if its entry had no contact
		// any more.
		return false
	}
	if st == messenger.RunnerProbing && !t.AllowSuspect && len(r.tasks)-len(r.waiting) >= probeTasks {
		return false
	}
	return r.fits(now, t)
}

func (r *Runner) start(now time.Duration, t *task) {
	i := slices.Index(r.waiting, t)
	r.waiting = slices.Delete(r.waiting, i, i+1)
	t.state = stateStarting
	t.startedAt, t.incarnation = now, r.incarnation
	r.used = r.used.Add(t.Resources)
	r.startedAt = now
	r.out.Starts = append(r.out.Starts, StartCall{
		Incarnation: r.incarnation, Task: t.Task, Run: t.Run, Payload: t.Payload, LeaseUntil: r.extendLease(now),
	})
}

// report makes the frames for the entries for which ends, a load report or a heartbeat
// are due.
func (r *Runner) report(now time.Duration) {
	reportEvery := r.limits.LoadReportInterval * time.Duration(max(1, len(r.sessions)))
	for _, peer := range sortedPeers(r.sessions) {
		s := r.sessions[peer]
		since := now - s.sentAt
		due := since >= reportEvery && (s.reportDue || s.loadChanged && r.reportOutdated(now, s))
		beatEvery := r.limits.HeartbeatInterval
		if s.idleFor(now, r.limits.IdleThreshold) {
			beatEvery = max(beatEvery, r.limits.IdleHeartbeatInterval)
		}
		if len(s.ends)+len(s.crashes) == 0 && since < beatEvery && !due && !s.reportAtOnce {
			continue
		}
		f := &messenger.Frame{Ends: s.ends, Crashes: crashMessages(now, s.crashes), Stamp: &messenger.Stamp{Clock: now, Echo: s.entryStamp}}
		f.OutstandingStarts = outstandingMessages(now, s.outstanding)
		if s.reportDue || s.loadChanged || s.reportAtOnce {
			f.Load = r.load(now, s)
			s.reportedLoad = f.Load.Used.Add(f.Load.Queued)
		}
		s.outstanding = nil
		s.ends, s.crashes, s.reportDue, s.loadChanged, s.reportAtOnce, s.sentAt = nil, nil, false, false, false, now
		r.out.Sends = append(r.out.Sends, Send{To: peer, Frame: f})
	}
}

// capacityDivisor and freeDivisor bound the error of the load known to an entry, as
// divisors of the capacity and of the free capacity. A larger error is reported before
// the next heartbeat: where little is free, each task matters.
const (
	capacityDivisor = 8
	freeDivisor     = 4
)

// reportOutdated reports whether the load known to an entry is too inaccurate.
func (r *Runner) reportOutdated(now time.Duration, s *session) bool {
	if r.upstream == nil {
		return true
	}
	occupied, c := r.occupied(now).Add(r.offeredToOthers(s)), r.upstream.Capacity
	d, free := occupied.Sub(s.reportedLoad), c.Sub(occupied)
	return significant(d.MilliCPU, c.MilliCPU, free.MilliCPU) || significant(d.MemoryBytes, c.MemoryBytes, free.MemoryBytes) ||
		significant(d.Accelerators, c.Accelerators, free.Accelerators)
}

// significant reports whether a difference is large relative to the capacity or the
// free capacity.
func significant(difference, capacity, free int64) bool {
	d := max(difference, -difference)
	return d > 0 && (d*capacityDivisor >= capacity || d*freeDivisor >= free)
}

// Queued returns the resources requested by the waiting tasks.
func (r *Runner) Queued() messenger.Resources {
	var sum messenger.Resources
	for _, t := range r.waiting {
		sum = sum.Add(t.Resources)
	}
	return sum
}

func (r *Runner) load(now time.Duration, s *session) *messenger.Load {
	l := &messenger.Load{
		Incarnation: r.incarnation.String(), State: r.State(now), Used: r.used.Add(r.reserved(now)).Add(r.offeredToOthers(s)), Queued: r.Queued(), LaunchesReceived: s.launchesReceived, RelativeRunTimePercent: r.health.slowdownPercent(now),
	}
	if r.upstream != nil {
		l.Service, l.Capacity, l.Labels = r.upstream.Service, r.upstream.Capacity, r.upstream.Labels
	}
	return l
}

func sortedPeers(sessions map[messenger.Peer]*session) []messenger.Peer {
	return slices.Sorted(maps.Keys(sessions))
}
