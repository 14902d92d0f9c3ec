package assigner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// outstandingMemory is how long an outstanding start is remembered. It is longer than calls
	// are carried out late, and than callers wait and submit again.
	outstandingMemory = time.Minute
	// refusalDelay is the time after which a task with outstanding starts is launched again at an upstream that
	// has refused it.
	refusalDelay = 25 * time.Millisecond
	// maxOutstanding bounds the outstanding starts that are remembered.
	maxOutstanding = 16384
)

// outstandingStarts holds the starts without an answer that upstreams may still carry out. Agents
// report those of all entries, so that another entry knows them when a caller submits a job again.
type outstandingStarts struct {
	records []*outstandingStart // in the order in which they were reported
	byTask  map[messenger.TaskRef][]*outstandingStart
}

// outstandingStart is a start that an upstream may still carry out, also after a restart. Until
// then its task must not run at another upstream.
type outstandingStart struct {
	task     messenger.TaskRef
	instance string // the agent's instance
	upstream string // ID of the upstream
	until    time.Duration
}

func newOutstandingStarts() outstandingStarts {
	return outstandingStarts{byTask: make(map[messenger.TaskRef][]*outstandingStart)}
}

// add adds a reported start, unless it is known already.
func (o *outstandingStarts) add(now time.Duration, instance string, m *messenger.OutstandingStart) {
	until := now - m.Age + outstandingMemory
	for _, s := range o.byTask[m.Task] {
		if s.instance == instance && s.upstream == m.Upstream {
			s.until = max(s.until, until)
			return
		}
	}
	for len(o.records) > 0 && (now >= o.records[0].until || len(o.records) >= maxOutstanding) {
		o.remove(o.records[0])
		o.records = o.records[1:]
	}
	s := &outstandingStart{task: m.Task, instance: instance, upstream: m.Upstream, until: until}
	o.records = append(o.records, s)
	o.byTask[s.task] = append(o.byTask[s.task], s)
}

// remove removes a start from those of its task.
func (o *outstandingStarts) remove(s *outstandingStart) {
	left := slices.DeleteFunc(o.byTask[s.task], func(other *outstandingStart) bool { return other == s })
	if o.byTask[s.task] = left; len(left) == 0 {
		delete(o.byTask, s.task)
	}
}

// removeReplaced removes the starts at an instance that were meant for an upstream with another ID
// than the present one, which rejects them.
func (o *outstandingStarts) removeReplaced(instance, upstream string) {
	o.records = slices.DeleteFunc(o.records, func(s *outstandingStart) bool {
		replaced := s.instance == instance && s.upstream != upstream
		if replaced {
			o.remove(s)
		}
		return replaced
	})
}

// of returns the outstanding starts of a task.
func (o *outstandingStarts) of(now time.Duration, ref messenger.TaskRef) (starts []*outstandingStart) {
	for _, s := range o.byTask[ref] {
		if now < s.until {
			starts = append(starts, s)
		}
	}
	return starts
}

// recordOutstanding applies the report of a start without an answer.
func (a *Assigner) recordOutstanding(now time.Duration, g *agent, m *messenger.OutstandingStart) {
	a.outstanding.add(now, g.instance, m)
	if j := a.jobs[m.Task.Job]; j != nil {
		a.logDecision(Decision{Event: "start-outstanding", Task: m.Task, Instance: g.instance, Reason: m.Upstream, Age: m.Age, JobAge: now - j.arrived})
	}
}

// allowedBesideOutstanding reports whether a task may be launched at an agent although starts of it
// are outstanding: these are all for the upstream of that agent, which does not run a task twice.
func (t *task) allowedBesideOutstanding(g *agent) bool {
	return !slices.ContainsFunc(t.outstanding, func(s *outstandingStart) bool { return s.instance != g.instance })
}
