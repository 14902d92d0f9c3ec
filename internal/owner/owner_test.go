package owner

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

var testLimits = Limits{
	Window:           time.Minute,
	MaxClockSkew:     5 * time.Second,
	MaxRecordBytes:   8 * jobBytes,
	MaxAnswerBytes:   4 * (sliceBytes + 1),
	AgentLossTimeout: 2 * time.Second,
	MaxReschedules:   1,
	AbandonGrace:     time.Second,
}

// TestScripts runs each script with many sets of ids. The actions of an owner must not
// depend on the ids of the jobs.
func TestScripts(t *testing.T) {
	const seeds = 2000
	scripter.RunSeeds(t, "testdata/*.txtar", seeds, runScript)
}

// scriptRunner applies the lines of a script to owners. A line applies to the owner
// that the latest "use" or "hand-over" named, or to "a" before the first of them.
type scriptRunner struct {
	t               *testing.T
	owners          map[string]*Owner
	owner           *Owner
	now             time.Time
	ids             identifier.Generator
	names           map[identifier.Submission]string
	jobs            map[string]Job
	holdsPartitions bool
	out             strings.Builder
}

func runScript(t *testing.T, lines []scripter.Line, random io.Reader) string {
	sr := &scriptRunner{
		t:               t,
		owners:          make(map[string]*Owner),
		now:             time.Unix(1_700_000_000, 0),
		ids:             identifier.Generator{Random: random},
		names:           make(map[identifier.Submission]string),
		jobs:            make(map[string]Job),
		holdsPartitions: true,
	}
	sr.useOwner("a")
	for _, l := range lines {
		fmt.Fprintf(&sr.out, "%s %s\n", l.Verb, strings.Join(l.Args, " "))
		sr.apply(l)
		sr.report()
	}
	return sr.out.String()
}

func (sr *scriptRunner) useOwner(name string) {
	o := sr.owners[name]
	if o == nil {
		o = New(testLimits)
		o.Rules.HoldsPartition = func(identifier.Partition) bool { return sr.holdsPartitions }
		o.AgentUp("x")
		o.AgentUp("y")
		sr.owners[name] = o
	}
	sr.owner = o
}

func (sr *scriptRunner) apply(l scripter.Line) {
	id := sr.job(l).Submission
	agent := messenger.Peer(l.Arg("agent"))
	switch l.Verb {
	case "use":
		sr.useOwner(l.Args[0])
	case "hold":
		sr.holdsPartitions = l.Args[0] == "true"
	case "submit":
		sr.submit(l)
	case "attach":
		known := sr.owner.Attach(sr.now, sr.waiter(l), id, "team", sr.now.Add(sr.duration(l, "timeout", "10s")))
		fmt.Fprintf(&sr.out, "  known: %t\n", known)
	case "abandon":
		sr.owner.Abandon(sr.now, sr.waiter(l))
	case "cancel":
		fmt.Fprintf(&sr.out, "  cancelled: %t\n", sr.owner.Cancel(sr.now, id, l.Arg("team")))
	case "refuse":
		sr.owner.Refuse(sr.now, id, submitter.ReasonOverloaded, "full", time.Second)
	case "sent":
		fmt.Fprintf(&sr.out, "  sent: %v\n", sr.owner.Sent(sr.now, id, agent, sr.tasks(l, "tasks")))
	case "result":
		sr.owner.Result(sr.now, agent, &messenger.Result{Submission: id, Tasks: sr.results(l, "tasks", messenger.ResultKind(l.Arg("kind")))})
	case "up":
		sr.owner.AgentUp(agent)
	case "down":
		sr.owner.AgentDown(sr.now, agent)
	case "record":
		sr.record(l, agent)
	case "reconciled":
		sr.owner.Reconciled(sr.now, agent, id.Partition())
	case "hand-over":
		sr.handOver(l)
	case "wait":
		sr.now = sr.now.Add(scripter.Duration(sr.t, l.Args[0]))
		sr.owner.Tick(sr.now)
	default:
		sr.t.Fatalf("%v: unknown verb", l)
	}
}

func (sr *scriptRunner) submit(l scripter.Line) {
	j := sr.job(l)
	j.Deadline = sr.now.Add(sr.duration(l, "timeout", "10s"))
	if body := l.Arg("body"); body != "" {
		j.Tasks = []messenger.TaskSpec{{Payload: []byte(body)}}
	}
	fmt.Fprintf(&sr.out, "  place: %v\n", sr.owner.Submit(sr.now, sr.waiter(l), j))
}

func (sr *scriptRunner) record(l scripter.Line, agent messenger.Peer) {
	j := sr.job(l)
	if l.Arg("nokey") == "true" {
		sr.owner.Recover(sr.now, agent, messenger.Record{Submission: j.Submission, Cancelled: true})
		return
	}
	sr.owner.Recover(sr.now, agent, messenger.Record{
		Submission: j.Submission,
		Running:    sr.tasks(l, "running"),
		Ended:      sr.results(l, "ended", messenger.ResultDone),
		Cancelled:  l.Arg("cancelled") == "true",
		Settled:    l.Arg("settled") == "true",
		RequestKey: j.RequestKey,
		Digest:     Digest(&j),
	})
}

// handOver moves the partition of a job to another owner, to which the next lines apply.
func (sr *scriptRunner) handOver(l scripter.Line) {
	p := sr.job(l).Submission.Partition()
	exported := sr.owner.Export(sr.now, p)
	for _, r := range sr.owner.Release(sr.now, p) {
		fmt.Fprintf(&sr.out, "  released: %s for requests %v, due in %s\n", sr.names[r.Job.Submission], r.Waiters, r.Job.Deadline.Sub(sr.now))
	}
	sr.report()
	kept, open := sr.owner.Jobs()
	bytes, results := sr.owner.Bytes()
	fmt.Fprintf(&sr.out, "  left behind: %d jobs, %d open, %d bytes, %d bytes of results\n", kept, open, bytes, results)
	sr.useOwner(l.Arg("to"))
	for _, h := range exported {
		sr.owner.Import(sr.now, h)
	}
}

// report writes the actions that the owner requested since the last report.
func (sr *scriptRunner) report() {
	out := sr.owner.Take()
	for _, a := range out.Answers {
		fmt.Fprintf(&sr.out, "  answer %d: %s %s %q\n", a.Waiter.Ticket, a.Answer.Outcome, a.Answer.Reason, a.Answer.Results)
	}
	for _, r := range out.Requeues {
		fmt.Fprintf(&sr.out, "  place again: %s/%d\n", sr.names[r.Submission], r.Index)
	}
	for _, s := range out.Drops {
		fmt.Fprintf(&sr.out, "  drop: %s\n", sr.names[s])
	}
	for _, x := range out.Cancels {
		fmt.Fprintf(&sr.out, "  cancel: %s at %s\n", sr.names[x.Submission], x.Agent)
	}
	for _, x := range out.Settles {
		fmt.Fprintf(&sr.out, "  settle: %s at %s\n", sr.names[x.Submission], x.Agent)
	}
}

// job returns the job with the name that a line gives. Its id is generated when the
// name first occurs, with a time that lies the argument age in the past.
func (sr *scriptRunner) job(l scripter.Line) Job {
	name := l.Arg("job")
	if j, ok := sr.jobs[name]; ok || name == "" {
		return j
	}
	id, ok := sr.newID(sr.now.Add(-sr.duration(l, "age", "0s")), l.Arg("key"))
	if !ok {
		sr.t.Fatal("no id found for the job " + name)
	}
	j := Job{Submission: id, Service: "quote", Team: "team", RequestKey: l.Arg("key")}
	for i := range 2 {
		j.Tasks = append(j.Tasks, messenger.TaskSpec{Payload: []byte(strconv.Itoa(i))})
	}
	sr.jobs[name] = j
	sr.names[id] = name
	return j
}

// newID returns an id in the partition of its request key or, without a key, in a
// partition that no other job of the script uses.
func (sr *scriptRunner) newID(now time.Time, key string) (identifier.Submission, bool) {
	if key != "" {
		return sr.ids.NewForKey(now, key)
	}
	return sr.ids.NewIn(now, func(p identifier.Partition) bool {
		for other := range sr.names {
			if other.Partition() == p {
				return false
			}
		}
		return true
	})
}

func (sr *scriptRunner) waiter(l scripter.Line) Waiter {
	ticket, err := strconv.ParseUint(l.Arg("ticket"), 10, 64)
	if err != nil {
		sr.t.Fatal(err)
	}
	return Waiter{Ticket: ticket}
}

func (sr *scriptRunner) tasks(l scripter.Line, name string) []uint16 {
	var out []uint16
	for text := range strings.FieldsFuncSeq(l.Arg(name), func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(text)
		if err != nil {
			sr.t.Fatal(err)
		}
		out = append(out, uint16(n))
	}
	return out
}

func (sr *scriptRunner) results(l scripter.Line, name string, kind messenger.ResultKind) []messenger.TaskResult {
	var out []messenger.TaskResult
	for _, index := range sr.tasks(l, name) {
		r := messenger.TaskResult{Index: index, Kind: kind, Refusal: messenger.Refusal(l.Arg("refusal"))}
		if kind == messenger.ResultDone && l.Arg("settled") == "" {
			r.Payload = []byte{byte('0' + index)}
		}
		out = append(out, r)
	}
	return out
}

func (sr *scriptRunner) duration(l scripter.Line, name, otherwise string) time.Duration {
	if text := l.Arg(name); text != "" {
		return scripter.Duration(sr.t, text)
	}
	return scripter.Duration(sr.t, otherwise)
}
