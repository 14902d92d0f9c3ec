// Package reporter computes how fast each service uses up its error budget.
//
// Every answered job is an [Event] that is good or bad for each of the service's
// two objectives, latency and success. A [Recorder] counts events in buckets of
// three widths, so that it can sum windows from five minutes to thirty days in
// bounded memory. A [Snapshot] is the content of a recorder, which is sent to other
// entries and written to the object store; [Sum] adds the snapshots of several
// entries. A [Report] is the state of all objectives at one time, computed from a
// snapshot.
//
// The package does no I/O and reads no clock: callers pass the time.
package reporter

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// tier is a bucket width and the retention period of buckets of this width.
type tier struct {
	width, retention time.Duration
}

// tiers are ordered by width. A window is summed in the first tier whose retention
// covers it.
var tiers = [...]tier{
	{30 * time.Second, time.Hour},
	{5 * time.Minute, 6 * time.Hour},
	{6 * time.Hour, MaxWindow},
}

// MaxWindow is the longest window that a report can cover.
const MaxWindow = 30 * 24 * time.Hour

// Event is one answered job.
type Event struct {
	Service string
	Outcome submitter.Outcome
	Reason  submitter.Reason
	// Slow is set if the job completed, but took longer than the latency objective.
	Slow bool
}

// Recorder counts events.
type Recorder struct {
	services map[string]*series
}

// series holds the event counts of one service, one list of buckets for each of the
// package's tiers.
type series struct {
	tiers [len(tiers)][]Bucket // Ordered by Bucket.Start.
}

// Bucket counts the events of one time interval.
type Bucket struct {
	// Start is a multiple of the tier's width, as Unix time in seconds.
	Start int64 `json:"start"`
	// Jobs counts the events that affect the objectives.
	Jobs uint64 `json:"jobs"`
	// Slow counts the jobs among Jobs that completed too late.
	Slow uint64 `json:"slow,omitempty"`
	// Excluded counts events that the caller has caused; they are not in Jobs.
	Excluded uint64 `json:"excluded,omitempty"`
	// Bad counts the jobs among Jobs that did not complete, sorted by reason.
	Bad []ReasonCount `json:"bad,omitempty"`
}

// ReasonCount counts the events of one reason.
type ReasonCount struct {
	Reason submitter.Reason `json:"reason"`
	Count  uint64           `json:"count"`
}

// excludedReasons lists the failure reasons that the caller has caused. They do not
// use up the error budget of a service.
var excludedReasons = []submitter.Reason{
	submitter.ReasonCancelled,
	submitter.ReasonNeverFits,
	submitter.ReasonQuotaExceeded,
	submitter.ReasonStale,
	submitter.ReasonFuture,
	submitter.ReasonDuplicateRequest,
	submitter.ReasonConflictingRequest,
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{services: make(map[string]*series)}
}

// Record counts an event.
func (r *Recorder) Record(now time.Time, e Event) {
	s := r.series(e.Service)
	for i := range tiers {
		s.bucket(i, now).add(&e)
	}
}

// Snapshot returns the content of the recorder.
func (r *Recorder) Snapshot(now time.Time) *Snapshot {
	out := &Snapshot{Taken: now}
	for name, s := range r.services {
		s.prune(now)
		row := ServiceCounts{Service: name}
		for i := range tiers {
			row.Tiers = append(row.Tiers, cloneBuckets(s.tiers[i]))
		}
		out.Services = append(out.Services, row)
	}
	sortServices(out.Services)
	return out
}

// Load adds the content of a snapshot, such as that of the entry's predecessor.
func (r *Recorder) Load(now time.Time, s *Snapshot) {
	for i := range s.Services {
		row := &s.Services[i]
		into := r.series(row.Service)
		for j := range min(len(tiers), len(row.Tiers)) {
			into.tiers[j] = mergeBuckets(into.tiers[j], row.Tiers[j])
		}
		into.prune(now)
	}
}

func (r *Recorder) series(service string) *series {
	s := r.services[service]
	if s == nil {
		s = new(series)
		r.services[service] = s
	}
	return s
}

// bucket returns the bucket of tier i that contains the time. Since clocks may step
// back, a time before the newest bucket counts in the newest bucket.
func (s *series) bucket(i int, now time.Time) *Bucket {
	start := now.Truncate(tiers[i].width).Unix()
	list := s.tiers[i]
	if n := len(list); n > 0 && list[n-1].Start >= start {
		return &list[n-1]
	}
	s.prune(now)
	s.tiers[i] = append(s.tiers[i], Bucket{Start: start})
	return &s.tiers[i][len(s.tiers[i])-1]
}

// prune deletes the buckets that no window overlaps any more.
func (s *series) prune(now time.Time) {
	for i, t := range tiers {
		oldest := now.Add(-t.retention - t.width).Unix()
		n := 0
		for n < len(s.tiers[i]) && s.tiers[i][n].Start <= oldest {
			n++
		}
		s.tiers[i] = slices.Delete(s.tiers[i], 0, n)
	}
}

// Verdict classifies an event with regard to an objective.
type Verdict string

// The verdicts.
const (
	VerdictGood     Verdict = "good"
	VerdictBad      Verdict = "bad"
	VerdictExcluded Verdict = "excluded" // The event does not affect the objective.
)

// Verdict returns the verdict on the event for an objective.
func (e *Event) Verdict(o Objective) Verdict {
	complete := e.Outcome == submitter.OutcomeComplete
	switch {
	case slices.Contains(excludedReasons, e.Reason):
		return VerdictExcluded
	case o == ObjectiveLatency && !complete:
		return VerdictExcluded
	case o == ObjectiveLatency && e.Slow, o == ObjectiveSuccess && !complete:
		return VerdictBad
	}
	return VerdictGood
}

func (b *Bucket) add(e *Event) {
	switch e.Verdict(ObjectiveSuccess) {
	case VerdictExcluded:
		b.Excluded++
		return
	case VerdictBad:
		b.addBad(e.Reason, 1)
	}
	b.Jobs++
	if e.Verdict(ObjectiveLatency) == VerdictBad {
		b.Slow++
	}
}

func (b *Bucket) addBad(reason submitter.Reason, n uint64) {
	for i := range b.Bad {
		if b.Bad[i].Reason == reason {
			b.Bad[i].Count += n
			return
		}
	}
	b.Bad = append(b.Bad, ReasonCount{Reason: reason, Count: n})
	slices.SortFunc(b.Bad, func(x, y ReasonCount) int { return cmp.Compare(x.Reason, y.Reason) })
}

// merge adds the counts of another bucket.
func (b *Bucket) merge(o *Bucket) {
	b.Jobs += o.Jobs
	b.Slow += o.Slow
	b.Excluded += o.Excluded
	for _, c := range o.Bad {
		b.addBad(c.Reason, c.Count)
	}
}

// failures returns the number of jobs that did not complete.
func (b *Bucket) failures() uint64 {
	var n uint64
	for _, c := range b.Bad {
		n += c.Count
	}
	return n
}
