package assigner

import "time"

// unreadThreshold is the shortest time between a request's arrival and its submission from which the
// job's deadlines count from its arrival.
const unreadThreshold = 80 * time.Millisecond

// ReadLate reports whether the request of a job that is submitted now was read so late that its caller
// may submit the job again before the other entries are told of it, which takes less than half of
// ResubmitDelay. After a pause of that length every request counts as read late: the kernel may not
// tell, and the clock by which it does stands still while the machine is suspended.
func (a *Assigner) ReadLate(now time.Duration, s *Job) bool {
	least := a.limits.ResubmitDelay / 2
	if least == 0 {
		return false
	}
	since, paused := a.pause(now)
	return s.Unread >= least || paused && now-since >= least
}

// pause returns the beginning of the latest pause of this entry, and whether requests that came during
// it may still be read.
func (a *Assigner) pause(now time.Duration) (since time.Duration, ok bool) {
	// The first event after a pause may be applied before Advance notices it.
	if now-a.advancedAt > pauseThreshold {
		return a.advancedAt, true
	}
	return a.pausedAt, now < a.catchUpUntil
}

// arrival returns when the request of a job that is submitted now reached this machine.
func (s *Job) arrival(now time.Duration) time.Duration {
	if s.Unread < unreadThreshold {
		return now
	}
	return max(0, now-s.Unread)
}

// earliestArrival returns when that was at the earliest. If it is not known, the request may have come
// at any time of a pause of this entry.
func (a *Assigner) earliestArrival(now time.Duration, s *Job) time.Duration {
	at := s.arrival(now)
	if since, paused := a.pause(now); paused && !s.UnreadKnown {
		at = min(at, since)
	}
	return at
}

// SubmissionAge returns the time since the earliest possible arrival of the latest submission of a job.
// ok is false if the job is not open and has no runs.
func (a *Assigner) SubmissionAge(now time.Duration, id string) (age time.Duration, ok bool) {
	j := a.jobs[id]
	if j == nil {
		return 0, false
	}
	if j.replacement != nil {
		j = j.replacement
	}
	return now - j.earliest, true
}
