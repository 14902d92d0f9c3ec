package experimenter

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Settings configure the real decision code in an experiment.
type Settings struct {
	Placer placer.Limits
	Guard  guard.Limits
	// NoCredits makes every entry schedule as if it had all slots of every agent for itself.
	NoCredits bool
	// Quotas are the teams' quotas.
	Quotas []placer.Quota
}

const (
	service         = "print"
	tickInterval    = 100 * time.Millisecond
	announcementTTL = time.Minute
	memoryBytes     = 32 << 30
	recordWindow    = 5 * time.Second
)

// startTime is the wall-clock time at which experiments start.
var startTime = time.Unix(1_700_000_000, 0)

// system connects real placers and guards with simulated callers and upstreams.
type system struct {
	scenario   *Scenario
	workload   *Workload
	settings   Settings
	clock      *clock
	random     *rand.Rand
	result     *Result
	messages   *messageCounter
	jobNumbers map[identifier.Submission]int
	remaining  []int // remaining counts the tasks of each job that have not ended.
	entries    []*entryNode
	agents     []*agentNode

	agentNumbers map[messenger.Peer]int
}

// Run runs a workload through the real decision code.
func Run(sc *Scenario, w *Workload, settings Settings) *Result {
	s := &system{
		scenario:   sc,
		workload:   w,
		settings:   settings,
		clock:      &clock{},
		random:     rand.New(rand.NewPCG(sc.Seed, 3)),
		result:     &Result{Jobs: make([]JobResult, len(w.Jobs))},
		messages:   newMessageCounter(),
		jobNumbers: make(map[identifier.Submission]int, len(w.Jobs)),
		remaining:  make([]int, len(w.Jobs)),

		agentNumbers: make(map[messenger.Peer]int),
	}
	if s.settings.Guard.MaxResultDelay == 0 {
		s.settings.Guard.MaxResultDelay = guard.DefaultMaxResultDelay
	}
	s.build()
	s.scheduleEvents()
	s.clock.run(sc.Duration + settleTime)
	s.result.Messages = s.messages.total
	s.result.UsefulMessages = s.messages.useful()
	s.countWasted()
	return s.result
}

func (s *system) now() time.Time { return startTime.Add(s.clock.now) }

// build creates the processes and connects them.
func (s *system) build() {
	for n := range s.scenario.Entries {
		e := &entryNode{system: s, number: n, placer: placer.New(s.settings.Placer)}
		e.placer.SetEntries(s.scenario.Entries)
		e.placer.SetTeams(s.settings.Quotas)
		s.entries = append(s.entries, e)
	}
	for n := range s.scenario.Agents {
		s.agents = append(s.agents, newAgentNode(s, n))
		s.agentNumbers[agentPeer(n)] = n
	}
	for _, e := range s.entries {
		for _, a := range s.agents {
			e.connect(a)
		}
	}
}

// scheduleEvents schedules the arrivals, the faults and the ticks.
func (s *system) scheduleEvents() {
	for _, a := range s.agents {
		a.announce()
		s.clock.after(0, a.flush)
	}
	for i := range s.workload.Jobs {
		j := &s.workload.Jobs[i]
		s.result.Jobs[i].Outcome = JobOpen
		s.remaining[i] = len(j.Tasks)
		s.jobNumbers[j.ID] = i
		s.clock.at(warmUp+j.At, func() { s.arrive(i) })
		if d := s.scenario.Deadline; d > 0 {
			s.clock.at(warmUp+j.At+d, func() { s.expire(i) })
		}
		if j.CancelAt > 0 {
			s.clock.at(warmUp+j.CancelAt, func() { s.cancel(i) })
		}
	}
	for i := range s.scenario.Faults {
		f := &s.scenario.Faults[i]
		s.clock.at(warmUp+f.At, func() { s.injectFault(f) })
	}
	for at := tickInterval; at < s.scenario.Duration+settleTime; at += tickInterval {
		s.clock.at(at, s.tick)
	}
}

// warmUp is the time for processes to connect before the first arrival.
const warmUp = 100 * time.Millisecond

func (s *system) tick() {
	for _, a := range s.agents {
		if !a.crashed {
			a.guard.Tick(s.now())
			a.flush()
		}
	}
	for _, e := range s.entries {
		e.flush()
	}
}

func (s *system) arrive(i int) {
	j := &s.workload.Jobs[i]
	e := s.entries[j.Entry]
	for n := 1; e.crashed; n++ {
		e = s.entries[(j.Entry+n)%len(s.entries)]
	}
	e.submit(i, j)
}

func (s *system) cancel(i int) {
	if s.result.Jobs[i].Outcome != JobOpen {
		return
	}
	e := s.entries[s.workload.Jobs[i].Entry]
	s.result.Jobs[i].Outcome = JobCancelled
	e.cancel(i)
	e.planFlush()
}

// expire fails a job that has not ended by its deadline.
func (s *system) expire(i int) {
	if s.result.Jobs[i].Outcome != JobOpen {
		return
	}
	s.fail(i)
	e := s.entries[s.workload.Jobs[i].Entry]
	e.cancel(i)
	e.planFlush()
}

func (s *system) injectFault(f *Fault) {
	switch f.Kind {
	case FaultAgentsCrash:
		for _, n := range f.Agents {
			s.agents[n].crash()
		}
	case FaultPartition:
		s.partition(f)
	case FaultEntryCrash:
		s.entries[f.Entry].crash()
	}
}

// fail marks a job as failed if it is open.
func (s *system) fail(i int) {
	if s.result.Jobs[i].Outcome == JobOpen {
		s.result.Jobs[i].Outcome = JobFailed
	}
}

func (s *system) countWasted() {
	for _, a := range s.agents {
		for _, r := range a.finishedRuns {
			s.result.RunTime += r.runTime
			if s.result.Jobs[r.job].Outcome != JobComplete {
				s.result.WastedRunTime += r.runTime
			}
		}
	}
}

// spec returns a job in the form that the placer accepts.
func (s *system) spec(i int) placer.Job {
	j := &s.workload.Jobs[i]
	out := placer.Job{
		Submission:   j.ID,
		Service:      service,
		Team:         fmt.Sprintf("team-%03d", j.Team),
		Requirements: make([]placer.Requirements, len(j.Tasks)),
		Tasks:        make([]uint16, len(j.Tasks)),
	}
	if s.scenario.Deadline > 0 {
		out.Deadline = startTime.Add(warmUp + j.At + s.scenario.Deadline)
	}
	for n := range j.Tasks {
		out.Requirements[n].RunTime = j.Tasks[n].Declared
		out.Tasks[n] = uint16(n)
	}
	return out
}

func (s *system) newLink(entry, agent int) *link {
	return &link{clock: s.clock, random: s.random, delay: delay(entry, agent), lossRatio: s.scenario.LossRatio}
}

func announcement(slots int) invoker.Announcement {
	return invoker.Announcement{
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		Services:    []string{service},
		Slots:       slots,
		Connections: 64,
		MemoryBytes: memoryBytes,
		TimeToLive:  submitter.Duration(announcementTTL),
	}
}

func entryPeer(n int) messenger.Peer { return messenger.Peer(fmt.Sprintf("entry-%d", n)) }
func agentPeer(n int) messenger.Peer { return messenger.Peer(fmt.Sprintf("agent-%d", n)) }
