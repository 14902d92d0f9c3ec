package assigner

import "time"

// lateReadThreshold is the shortest time between a request's arrival and its submission that counts
// as a late read.
const lateReadThreshold = 80 * time.Millisecond

// ReadLate reports whether the request of a job that is submitted now was read late. After a pause of
// this entry every request counts as read late: the kernel may not tell, and the clock by which it
// does stands still while the machine is suspended.
func (a *Assigner) ReadLate(now time.Duration, s *Job) bool {
	if a.limits.ResubmitDelay == 0 {
		return false
	}
	_, paused := a.pause(now)
	return paused || s.Unread >= lateReadThreshold
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
	if s.Unread < lateReadThreshold {
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
