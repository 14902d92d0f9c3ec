package assigner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

var testLimits = Limits{
	LeaseExpiry: 1500 * time.Millisecond, SuspicionTimeout: 400 * time.Millisecond, LivenessTimeout: 600 * time.Millisecond,
	HeartbeatInterval: time.Hour, AnswerMargin: 30 * time.Millisecond, CrossDataCentreLatency: 3 * time.Millisecond,
}

// TestScripts runs the scripts in testdata. Each line of a script is an event, and the
// output lists the actions that the assigner returns after it.
//
//	at TIME                                  sets the time
//	up INSTANCE [LIFE]                       connects an agent
//	down INSTANCE                            ends its connection
//	load INSTANCE STATE CAPACITY USED [PACE [LABEL]] reports its upstream's load
//	load INSTANCE empty                      reports that its upstream is ready without any capacity
//	beat INSTANCE...                         delivers a heartbeat: a frame with only a stamp
//	submit ID TICKET TASKS CPU DECLARED [PRIORITY [LABEL]]
//	end INSTANCE ID/INDEX RUN KIND
//	end-all INSTANCE ID TASKS RUN            reports that all tasks of a job are done
//	outstanding INSTANCE ID/INDEX            reports a start without an answer at its upstream
//	replace INSTANCE ID                      gives its upstream another ID, which the next load report tells
//	crash INSTANCE INCARNATION ID/INDEX[:QUEUE[:RUN-TIME]]...  reports that an upstream crashed under tasks
//	crash-uncertain ...                      the same, not certain for the runs
//	queue NAME                               sets the queue of the jobs that are submitted next
//	stamps                                   prints what waits, as told to agents with each frame from then on
//	log                                      prints decisions about crashes and hazards from then on
//	shortage                                 prints what was free and pending at each answer from then on
//	step TASKS CPU DECLARED LABEL            adds a step to the next jobs, which starts after the others are done
//	max-per-upstream N                       bounds the tasks of the next jobs at one upstream; 0 sets no limit
//	slowdown FACTOR                          sets the allowed slowdown of the next jobs, 1.6 at first
//	timeout TIME                             sets how long the callers of the next jobs wait, 2 s at first
//	leave ID TICKET                          ends the caller's connection
//	unread TIME                              sets how long the next submitted job has been unread
//	read TIME                                sets the time, and prints whether a request that is read before Advance is called is late
//	age ID                                   prints the age of the latest submission, and whether the job is known
//	gone TICKET                              ends it without telling the assigner
//	submit-after ID TICKET TASKS CPU DECLARED  submits a job that may run at another entry
//	ended-elsewhere ID
//	recall ID                                prints whether the job may have runs
//	open-jobs                                prints the jobs that arrived 400 ms ago, at most once in 4 s
//	resubmit-delay TIME                      sets how soon callers submit again; must come first
//	max-held BYTES                           bounds the memory of jobs without an answer; must come first
//	entry-lost                               ends the connection to another entry
//	entry-back                               begins a connection to another entry
//	cancel ID
//	state ID                                 prints whether the job is known, and whether it was launched
//	entries N                                sets the number of entries
//	data-centre NAME                         sets the data centre of the agents that connect next, dc-1 at first
//	evacuate [NAME...]                       sets the data centres that are being evacuated
//	hold, resume                             holds launches, and ends that
//	rests                                    enables idle heartbeats; must come first
//	close
//	give-up
func TestScripts(t *testing.T) { runScripts(t, "testdata/*.txtar") }

func runScripts(t *testing.T, files string) {
	t.Helper()
	scripter.Run(t, files, func(t *testing.T, lines []scripter.Line) string {
		s := &script{
			t: t, assigner: New(testLimits, "dc-1", rand.New(rand.NewPCG(1, 1))),
			incarnations: make(map[string]string), launchesSeen: make(map[string]uint64), connections: make(map[string]int),
			gone: make(map[uint64]bool), timeout: 2 * time.Second, dataCentre: "dc-1", slowdown: 1.6,
		}
		for _, l := range lines {
			s.line(l)
		}
		return s.out.String()
	})
}

type script struct {
	t            *testing.T
	assigner     *Assigner
	now          time.Duration
	out          strings.Builder
	incarnations map[string]string
	launchesSeen map[string]uint64
	connections  map[string]int
	queue        string
	// maxPerUpstream bounds the tasks of the next jobs at one upstream; 0 sets no limit.
	maxPerUpstream int
	steps          []Step // steps are those of the next jobs that follow the first one.
	slowdown       float64
	timeout        time.Duration // timeout is how long the callers of the next jobs wait.
	unread         time.Duration
	dataCentre     string          // dataCentre is that of the agents that connect next.
	gone           map[uint64]bool // gone has the tickets of the callers whose connections have ended.
	stamps         bool            // stamps is set if what waits, as told to agents, is printed.
	logged         bool            // logged is set if decisions about crashes and hazards are printed.
	shortage       bool            // shortage is set if the shortage at each answer is printed.
}

func (s *script) peer(instance string) messenger.Peer {
	return messenger.Peer(fmt.Sprintf("%s.%d", instance, s.connections[instance]))
}

// task parses ID/INDEX.
func (s *script) task(name string) messenger.TaskRef {
	job, index, _ := strings.Cut(name, "/")
	return messenger.TaskRef{Job: job, Index: int(scripter.Number(s.t, index))}
}

func (s *script) line(l scripter.Line) {
	fmt.Fprintf(&s.out, "> %s %s\n", l.Verb, strings.Join(l.Args, " "))
	a := l.Args
	switch l.Verb {
	case "at":
		s.now = scripter.Duration(s.t, a[0])
	case "up":
		s.connections[a[0]]++
		s.incarnations[a[0]], s.launchesSeen[a[0]] = a[0]+"#1", 0
		s.assigner.AgentUp(s.now, s.peer(a[0]), a[0], s.dataCentre)
	case "down":
		s.assigner.AgentDown(s.now, s.peer(a[0]))
	case "load":
		s.load(a)
	case "stamps":
		s.stamps = true
	case "beat":
		for _, instance := range a {
			s.assigner.Receive(s.now, s.peer(instance), &messenger.Frame{Stamp: &messenger.Stamp{Clock: s.now}})
		}
	case "submit":
		s.assigner.Submit(s.now, s.job(a))
	case "submit-after":
		s.assigner.SubmitAfter(s.now, s.job(a))
	case "ended-elsewhere":
		s.assigner.EndedElsewhere(s.now, a[0])
	case "recall":
		fmt.Fprintf(&s.out, "may run %v\n", s.assigner.Recall(s.now, a[0]))
	case "open-jobs":
		fmt.Fprintln(&s.out, s.assigner.OpenJobs(s.now, 400*time.Millisecond, 4*time.Second), s.assigner.ToldJobs())
	case "end":
		s.end(a[0], a[1], uint64(scripter.Number(s.t, a[2])), messenger.EndKind(a[3]))
	case "end-all":
		for i := range scripter.Number(s.t, a[2]) {
			s.end(a[0], fmt.Sprintf("%s/%d", a[1], i), uint64(scripter.Number(s.t, a[3])), messenger.EndDone)
		}
	case "outstanding":
		s.assigner.Receive(s.now, s.peer(a[0]), &messenger.Frame{OutstandingStarts: []messenger.OutstandingStart{{
			Task: s.task(a[1]), Upstream: messenger.UpstreamID(s.incarnations[a[0]]),
		}}})
	case "replace":
		s.incarnations[a[0]] = messenger.IncarnationName(a[1], 1)
	case "crash", "crash-uncertain":
		c := messenger.Crash{Upstream: a[1]}
		for _, name := range a[2:] {
			parts := strings.Split(name, ":")
			parts = append(parts, []string{"q", "10ms"}[min(len(parts), 3)-1:]...)
			c.Runs = append(c.Runs, messenger.CrashedRun{Task: s.task(parts[0]), Queue: parts[1], RunTime: scripter.Duration(s.t, parts[2]), Certain: l.Verb == "crash"})
		}
		s.assigner.Receive(s.now, s.peer(a[0]), &messenger.Frame{Crashes: []messenger.Crash{c}})
	case "unread":
		s.unread = scripter.Duration(s.t, a[0])
	case "read":
		s.now = scripter.Duration(s.t, a[0])
		late := s.assigner.ReadLate(s.now, &Job{Unread: s.unread, UnreadKnown: s.unread > 0})
		s.unread = 0
		fmt.Fprintf(&s.out, "late %v\n", late)
	case "age":
		fmt.Fprintln(&s.out, fmt.Sprint(s.assigner.SubmissionAge(s.now, a[0])))
	case "queue":
		s.queue = a[0]
	case "max-per-upstream":
		s.maxPerUpstream = int(scripter.Number(s.t, a[0]))
	case "slowdown":
		s.slowdown = float64(scripter.Number(s.t, a[0]))
	case "timeout":
		s.timeout = scripter.Duration(s.t, a[0])
	case "log":
		s.logged = true
	case "shortage":
		s.shortage = true
	case "leave":
		s.assigner.CallerLeft(s.now, a[0], uint64(scripter.Number(s.t, a[1])))
	case "gone":
		s.gone[uint64(scripter.Number(s.t, a[0]))] = true
	case "cancel":
		fmt.Fprintf(&s.out, "known %v\n", s.assigner.Cancel(s.now, a[0]))
	case "state":
		known, launched := s.assigner.Known(a[0])
		fmt.Fprintf(&s.out, "known %v, launched %v\n", known, launched)
	case "resubmit-delay":
		l := testLimits
		l.ResubmitDelay = scripter.Duration(s.t, a[0])
		s.assigner = New(l, "dc-1", rand.New(rand.NewPCG(1, 1)))
	case "max-held":
		l := testLimits
		l.MaxHeldBytes = scripter.Number(s.t, a[0])
		s.assigner = New(l, "dc-1", rand.New(rand.NewPCG(1, 1)))
	case "step":
		s.steps = append(s.steps, Step{
			Count: int(scripter.Number(s.t, a[0])), Resources: messenger.Resources{MilliCPU: scripter.Number(s.t, a[1])},
			DeclaredRunTime: scripter.Duration(s.t, a[2]), Label: a[3], After: []int{len(s.steps)},
		})
	case "entry-lost":
		s.assigner.EntryLost(s.now)
	case "entry-back":
		s.assigner.EntryBack(s.now)
	case "data-centre":
		s.dataCentre = a[0]
	case "evacuate":
		s.assigner.SetEvacuated(s.now, a)
	case "hold", "resume":
		s.assigner.HoldLaunches(l.Verb == "hold")
	case "entries":
		s.assigner.SetEntries(int(scripter.Number(s.t, a[0])))
	case "rests":
		l := testLimits
		l.IdleHeartbeatInterval, l.IdleThreshold = 1200*time.Millisecond, 2*time.Second
		s.assigner = New(l, "dc-1", rand.New(rand.NewPCG(1, 1)))
	case "close":
		s.assigner.StopAdmitting()
	case "give-up":
		s.assigner.AbandonAll(s.now)
	default:
		s.t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
	s.print()
}

// end reports the end of a run after 100 ms.
func (s *script) end(instance, task string, run uint64, kind messenger.EndKind) {
	s.assigner.Receive(s.now, s.peer(instance), &messenger.Frame{Ends: []messenger.End{{
		Task: s.task(task), Run: run, Kind: kind, RunTime: 100 * time.Millisecond, Started: true,
	}}})
}

func (s *script) load(a []string) {
	if a[1] == "empty" {
		l := &messenger.Load{Incarnation: s.incarnations[a[0]], Service: "quote", State: messenger.RunnerReady}
		s.assigner.Receive(s.now, s.peer(a[0]), &messenger.Frame{Load: l, Stamp: &messenger.Stamp{Clock: s.now}})
		return
	}
	l := &messenger.Load{
		Incarnation: s.incarnations[a[0]], Service: "quote", State: messenger.RunnerState(a[1]), LaunchesReceived: s.launchesSeen[a[0]],
		Capacity: messenger.Resources{MilliCPU: scripter.Number(s.t, a[2]), MemoryBytes: 1 << 30},
		Used:     messenger.Resources{MilliCPU: scripter.Number(s.t, a[3])}, RelativeRunTimePercent: 100,
	}
	if len(a) > 4 {
		l.RelativeRunTimePercent = scripter.Number(s.t, a[4])
	}
	l.Labels = a[min(len(a), 5):]
	s.assigner.Receive(s.now, s.peer(a[0]), &messenger.Frame{Load: l, Stamp: &messenger.Stamp{Clock: s.now}})
}

// job returns the job that a line describes.
func (s *script) job(a []string) Job {
	j := Job{
		ID: a[0], Queue: cmp.Or(s.queue, "q"), Service: "quote", SlowdownFactor: s.slowdown, LatencyAllowance: 60 * time.Millisecond,
		CallerTimeout: s.timeout, MaxAttempts: 2, Ticket: uint64(scripter.Number(s.t, a[1])),
		Steps: []Step{{Count: int(scripter.Number(s.t, a[2])), Resources: messenger.Resources{MilliCPU: scripter.Number(s.t, a[3])}, DeclaredRunTime: scripter.Duration(s.t, a[4]), MaxPerUpstream: s.maxPerUpstream}},
	}
	if len(a) > 5 {
		j.Priority = int(scripter.Number(s.t, a[5]))
	}
	if len(a) > 6 {
		j.Steps[0].Label = a[6]
	}
	j.Steps = append(j.Steps, s.steps...)
	j.CallerGone = func() bool { return s.gone[j.Ticket] }
	j.Unread, j.UnreadKnown = s.unread, s.unread > 0
	s.unread = 0
	return j
}

func (s *script) print() {
	out := s.assigner.Advance(s.now)
	for _, send := range out.Sends {
		instance, _, _ := strings.Cut(string(send.To), ".")
		if s.stamps {
			fmt.Fprintf(&s.out, "waiting told to %s: %d\n", instance, send.Frame.Stamp.Waiting.MilliCPU)
		}
		for _, l := range send.Frame.Launches {
			s.launchesSeen[instance]++
			fmt.Fprintf(&s.out, "launch at %s: %s/%d run %d\n", instance, l.Task.Job, l.Task.Index, l.Run)
		}
		for _, w := range send.Frame.Withdraws {
			fmt.Fprintf(&s.out, "withdraw at %s: %s/%d run %d\n", instance, w.Task.Job, w.Task.Index, w.Run)
		}
	}
	for _, a := range out.Answers {
		fmt.Fprintf(&s.out, "answer %d: %s %s\n", a.Ticket, a.Outcome, a.Reason)
		if s.shortage {
			fmt.Fprintf(&s.out, "%d upstreams free, %d tasks pending\n", a.Shortage.FreeUpstreams, a.Shortage.PendingTasks)
		}
	}
	for _, id := range out.Recalled {
		fmt.Fprintf(&s.out, "recalled %s\n", id)
	}
	for _, d := range out.Decisions {
		if s.logged && (d.Event == "crash-recorded" || strings.HasPrefix(d.Event, "queue-")) {
			fmt.Fprintf(&s.out, "log %s %s %s\n", d.Event, d.Reason, d.Task.Job)
		}
	}
	for _, p := range out.Closes {
		fmt.Fprintf(&s.out, "close %s\n", p)
	}
	jobs, pending := s.assigner.Counts()
	if pending > 0 {
		fmt.Fprintf(&s.out, "%d jobs, %d tasks pending\n", jobs, pending)
	}
	if held := s.assigner.held; held < 0 || (held > 0) != (jobs > 0) {
		s.t.Errorf("%d jobs without an answer hold %d bytes", jobs, held)
	}
}
