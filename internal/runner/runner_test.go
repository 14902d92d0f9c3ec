package runner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

var testLimits = Limits{
	LivenessTimeout: 600 * time.Millisecond, ContactExpiry: 1274 * time.Millisecond, LeaseDuration: 800 * time.Millisecond, ShortLeaseDuration: 800 * time.Millisecond, MaxLeaseDuration: time.Second, StopRetryInterval: 60 * time.Millisecond,
	MaxStopPending: 240 * time.Millisecond, StallTimeout: 200 * time.Millisecond,
	LoadReportInterval: 10 * time.Millisecond, HeartbeatInterval: time.Hour,
}

// TestScripts runs the scripts in testdata. Each line is an event; the output has the
// actions of the runner after it.
//
//	at TIME                                 sets the time
//	announce ID BORN SEQUENCE CPU [leaving] announces the upstream
//	cold TIME                               sets for how long the next announcements say that it is cold
//	await                                   starts nothing until it is known what is being evacuated
//	evacuate, return                        begins and ends the evacuation of the data centre
//	leave ID                                ends the upstream
//	up|down ENTRY                           begins or ends a session
//	launch ENTRY ECHO JOB RUN CPU URGENCY [START-BY [MAX-WAIT]]  launches the first task of a job
//	launch-more ...  the same, from an entry that has other tasks at the agent
//	rests                                   sets the idle limits; must be the first line
//	short-leases                            sets short leases; must be the first line
//	withdraw ENTRY ECHO JOB RUN
//	waits ENTRY ECHO CPU                    a frame without launches; from then on so much waits at the entry
//	repeat JOB RUN                          a start without an answer is about to be sent again
//	answer JOB RUN ANSWER [again]           answers a start; again if it was a retry
//	stopped JOB RUN true|false              answers a stop
//	list BORN [running JOB:RUN:PERCENT]... [ended NUMBER:JOB:RUN:KIND]...
//	polls TIME                              polls the upstream each 60 ms until the time, and gets empty lists
//	silent|refused                          a poll fails; refused if the connection was refused
//	ask                                     prints the next poll
//	pace                                    prints the slowdown of the upstream, in percent
//	leases                                  prints the ends of the leases of starts from then on
//	loads                                   prints the load reports from then on
//	close                                   begins the shutdown
//	may-connect                             prints whether entries may be connected
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		s := &script{t: t, runner: New(0, testLimits), waiting: make(map[string]int64)}
		for _, l := range lines {
			s.line(l)
		}
		return s.out.String()
	})
}

type script struct {
	t      *testing.T
	runner *Runner
	now    time.Duration
	out    strings.Builder
	loads  bool // loads is set if load reports are printed.
	leases bool // leases is set if the ends of the leases of starts are printed.
	cold   time.Duration
	// waiting is what waits at each entry, in thousandths of a core.
	waiting map[string]int64
}

func (s *script) line(l scripter.Line) {
	fmt.Fprintf(&s.out, "> %s %s\n", l.Verb, strings.Join(l.Args, " "))
	a := l.Args
	switch l.Verb {
	case "at":
		s.now = scripter.Duration(s.t, a[0])
	case "announce":
		u := Announcement{
			Incarnation: Incarnation{ID: a[0], Number: scripter.Number(s.t, a[1])}, Service: "quote", Sequence: scripter.Number(s.t, a[2]),
			Capacity: messenger.Resources{MilliCPU: scripter.Number(s.t, a[3]), MemoryBytes: 1 << 30}, Leaving: len(a) > 4, ColdFor: s.cold,
		}
		if !s.runner.Announce(s.now, u) {
			fmt.Fprintln(&s.out, "not taken")
		}
	case "cold":
		s.cold = scripter.Duration(s.t, a[0])
	case "await":
		s.runner.AwaitEvacuations()
	case "evacuate", "return":
		s.runner.SetEvacuated(s.now, l.Verb == "evacuate")
	case "leave":
		s.runner.Leave(s.now, a[0])
	case "up":
		s.runner.EntryUp(s.now, messenger.Peer(a[0]))
	case "down":
		s.runner.EntryDown(s.now, messenger.Peer(a[0]))
	case "launch", "launch-more", "withdraw", "waits":
		s.receive(l)
	case "answer":
		s.runner.Started(s.now, StartCall{Task: task0(a[0]), Run: uint64(scripter.Number(s.t, a[1]))}, Answer(a[2]), len(a) > 3)
	case "repeat":
		s.runner.Repeated(s.now, StartCall{Task: task0(a[0]), Run: uint64(scripter.Number(s.t, a[1]))})
	case "stopped":
		s.runner.Stopped(s.now, StopCall{Task: task0(a[0]), Run: uint64(scripter.Number(s.t, a[1]))}, a[2] == "true")
	case "list":
		s.list(a)
	case "polls":
		for end := scripter.Duration(s.t, a[0]); s.now < end; s.now += 60 * time.Millisecond {
			s.runner.NextPoll(s.now)
			s.runner.Listed(s.now, Listing{Incarnation: s.runner.incarnation, RequestedAt: s.now})
		}
	case "silent", "refused":
		s.runner.PollFailed(s.now, l.Verb == "refused")
	case "ask":
		q := s.runner.NextPoll(s.now)
		fmt.Fprintf(&s.out, "question: seen %d, renew %v\n", q.LastEnd, q.LeaseUntil)
	case "short-leases":
		l := testLimits
		l.ShortLeaseDuration = 250 * time.Millisecond
		s.runner = New(0, l)
	case "rests":
		l := testLimits
		l.IdleHeartbeatInterval, l.IdleThreshold = 1200*time.Millisecond, 2*time.Second
		s.runner = New(0, l)
	case "pace":
		fmt.Fprintf(&s.out, "pace %d\n", s.runner.health.slowdownPercent(s.now))
	case "leases":
		s.leases = true
	case "loads":
		s.loads = true
	case "may-connect":
		fmt.Fprintf(&s.out, "may connect: %v\n", s.runner.MayConnect(s.now))
	case "close":
		s.runner.StopAdmitting(s.now)
	default:
		s.t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
	s.print()
}

func task0(job string) messenger.TaskRef { return messenger.TaskRef{Job: job} }

func (s *script) receive(l scripter.Line) {
	a := l.Args
	if l.Verb == "waits" {
		s.waiting[a[0]] = scripter.Number(s.t, a[2])
	}
	f := &messenger.Frame{Stamp: &messenger.Stamp{Clock: s.now, Echo: scripter.Duration(s.t, a[1]), Waiting: messenger.Resources{MilliCPU: s.waiting[a[0]]}}}
	if l.Verb == "waits" {
		s.runner.Receive(s.now, messenger.Peer(a[0]), f)
		return
	}
	run := uint64(scripter.Number(s.t, a[3]))
	if l.Verb == "withdraw" {
		f.Withdraws = []messenger.Withdraw{{Task: task0(a[2]), Run: run}}
	} else {
		f.Launches = []messenger.Launch{{
			Task: task0(a[2]), Run: run, Service: "quote", Incarnation: s.runner.incarnation.String(),
			Resources: messenger.Resources{MilliCPU: scripter.Number(s.t, a[4])}, Urgency: scripter.Duration(s.t, a[5]),
			StartBy: s.now + 100*time.Millisecond, MaxWait: 100 * time.Millisecond,
			ExpectedRunTime: 100 * time.Millisecond, First: l.Verb != "launch-more",
		}}
		if len(a) > 6 {
			f.Launches[0].StartBy = scripter.Duration(s.t, a[6])
		}
		if len(a) > 7 {
			f.Launches[0].MaxWait = scripter.Duration(s.t, a[7])
		}
	}
	s.runner.Receive(s.now, messenger.Peer(a[0]), f)
}

func (s *script) list(a []string) {
	l := Listing{Incarnation: Incarnation{Number: scripter.Number(s.t, a[0])}, RequestedAt: s.now - time.Millisecond}
	for i := 1; i+1 < len(a); i += 2 {
		p := strings.Split(a[i+1], ":")
		if a[i] == "running" {
			l.Running = append(l.Running, Run{Task: task0(p[0]), Run: uint64(scripter.Number(s.t, p[1])), Percent: int(scripter.Number(s.t, p[2]))})
			continue
		}
		l.Ended = append(l.Ended, RunEnd{Number: scripter.Number(s.t, p[0]), Task: task0(p[1]), Run: uint64(scripter.Number(s.t, p[2])), Kind: messenger.EndKind(p[3])})
	}
	s.runner.Listed(s.now, l)
}

// printEnds prints the ends in a frame, and the starts without an answer.
func (s *script) printEnds(send Send) {
	for _, m := range send.Frame.OutstandingStarts {
		fmt.Fprintf(&s.out, "outstanding to %s: %s at %s since %v\n", send.To, m.Task.Job, m.Upstream, m.Age)
	}
	for _, e := range send.Frame.Ends {
		fmt.Fprintf(&s.out, "end to %s: %s run %d %s", send.To, e.Task.Job, e.Run, e.Kind)
		if e.Proof != messenger.ProofListed {
			fmt.Fprintf(&s.out, " (%s)", e.Proof)
		}
		fmt.Fprintln(&s.out)
	}
}

func (s *script) print() {
	out := s.runner.Take(s.now)
	for _, c := range out.Starts {
		fmt.Fprintf(&s.out, "start %s run %d", c.Task.Job, c.Run)
		if s.leases {
			fmt.Fprintf(&s.out, " until %v", c.LeaseUntil)
		}
		fmt.Fprintln(&s.out)
	}
	for _, c := range out.Stops {
		fmt.Fprintf(&s.out, "stop %s run %d\n", c.Task.Job, c.Run)
	}
	for _, send := range out.Sends {
		s.printEnds(send)
		for _, c := range send.Frame.Crashes {
			fmt.Fprintf(&s.out, "crash to %s: %s %v ago:", send.To, c.Upstream, c.Age)
			for _, run := range c.Runs {
				fmt.Fprintf(&s.out, " %s after %v", run.Task.Job, run.RunTime)
				if !run.Certain {
					fmt.Fprint(&s.out, " (uncertain)")
				}
			}
			fmt.Fprintln(&s.out)
		}
		if l := send.Frame.Load; l != nil && s.loads {
			fmt.Fprintf(&s.out, "load to %s: %d used, %d queued\n", send.To, l.Used.MilliCPU, l.Queued.MilliCPU)
		}
	}
	for _, p := range out.Closes {
		fmt.Fprintf(&s.out, "close %s\n", p)
	}
	for _, d := range out.Decisions {
		fmt.Fprintf(&s.out, "log %s %s\n", d.Event, d.Reason)
	}
	running, waiting, used := s.runner.Counts()
	fmt.Fprintf(&s.out, "%s: %d running, %d waiting, %d used\n", s.runner.State(s.now), running, waiting, used.MilliCPU)
}
