package placer

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		b := &scriptBench{t: t, p: New(Limits{}), now: epoch}
		for _, l := range lines {
			fmt.Fprintf(&b.out, "%s %s\n", l.Verb, strings.Join(l.Args, " "))
			b.apply(l)
			b.dispatch()
		}
		return b.out.String()
	})
}

// scriptBench runs the lines of a script against one placer.
type scriptBench struct {
	t   *testing.T
	p   *Placer
	now time.Time
	out strings.Builder
}

func (b *scriptBench) apply(l scripter.Line) {
	switch l.Verb {
	case "agent":
		peer := messenger.Peer(l.Args[0])
		service := cmp.Or(l.Arg("serves"), "print")
		b.p.AgentUp(b.now, peer, Location{DataCentre: l.Arg("data-centre")})
		b.p.SetCapacity(b.now, peer, messenger.Capacity{
			State: messenger.UpstreamServing, Services: []string{service},
			Slots: b.number(l, "slots"), MemoryBytes: int64(b.number(l, "memory")), Accelerators: b.number(l, "accelerators"),
		})
	case "lost":
		b.p.AgentDown(b.now, messenger.Peer(l.Args[0]))
	case "holds":
		b.holds(l)
	case "credit":
		b.p.SetCredit(b.now, messenger.Peer(l.Arg("at")), b.number(l, "limit"))
	case "quota":
		b.p.SetTeams([]Quota{{Team: l.Arg("team"), Slots: b.number(l, "slots"), StartsPerSecond: float64(b.number(l, "starts"))}})
	case "entries":
		b.p.SetEntries(b.number(l, "n"))
	case "job":
		b.enqueue(l)
	case "end":
		b.p.Ended(b.now, End{
			Agent: messenger.Peer(l.Arg("at")), Submission: submission(b.number(l, "job")),
			Index: uint16(b.number(l, "task")), Kind: messenger.ResultKind(l.Arg("kind")),
			Refusal: messenger.Refusal(l.Arg("refusal")), RunTime: b.duration(l, "took"),
		})
	case "results":
		b.results(l)
	case "drop":
		b.p.Drop(submission(b.number(l, "job")))
	case "wait":
		b.now = b.now.Add(b.duration(l, "for"))
	default:
		b.t.Fatalf("%v: unknown verb", l)
	}
}

func (b *scriptBench) enqueue(l scripter.Line) {
	j := Job{Submission: submission(b.number(l, "id")), Service: "print", Team: l.Arg("team")}
	if d := b.duration(l, "deadline"); d > 0 {
		j.Deadline = b.now.Add(d)
	}
	for i := range b.number(l, "tasks") {
		j.Tasks = append(j.Tasks, uint16(i))
		j.Requirements = append(j.Requirements, Requirements{
			RunTime: b.duration(l, "run"), MemoryBytes: int64(b.number(l, "memory")), Accelerators: b.number(l, "accelerators"),
		})
	}
	if r := b.p.Enqueue(b.now, j); r.Reason != "" {
		fmt.Fprintf(&b.out, "  refused: %s retry-after=%v\n", r.Reason, r.RetryAfter)
	}
}

// holds replaces the holds: drain names an agent, and evacuate data centres.
func (b *scriptBench) holds(l scripter.Line) {
	h := Holds{Upstreams: make(map[messenger.Peer]Hold), DataCentres: make(map[string]Hold)}
	if peer := l.Arg("drain"); peer != "" {
		h.Upstreams[messenger.Peer(peer)] = HoldDrained
	}
	for name := range strings.FieldsFuncSeq(l.Arg("evacuate"), func(r rune) bool { return r == ',' }) {
		h.DataCentres[name] = HoldEvacuated
	}
	b.p.SetHolds(h)
	for _, u := range b.p.Upstreams() {
		fmt.Fprintf(&b.out, "  %s: hold %q\n", u.Peer, u.Hold)
	}
}

// results runs jobs of one task, one after the other, at the only agent.
func (b *scriptBench) results(l scripter.Line) {
	for i := range b.number(l, "n") {
		j := Job{
			Submission: submission(1000 + i), Service: "print", Team: l.Arg("team"),
			Tasks: []uint16{0}, Requirements: []Requirements{{RunTime: b.duration(l, "run")}},
		}
		if r := b.p.Enqueue(b.now, j); r.Reason != "" {
			b.t.Fatalf("%v: refused: %s", l, r.Reason)
		}
		for _, a := range b.p.Dispatch(b.now) {
			b.p.Ended(b.now, End{Agent: a.Agent, Submission: a.Submission, Kind: messenger.ResultDone, RunTime: b.duration(l, "took")})
		}
	}
}

// dispatch writes the jobs that are held back and the assignments of one dispatch.
func (b *scriptBench) dispatch() {
	for _, h := range b.p.TakeHeldBack() {
		fmt.Fprintf(&b.out, "  held back: job %d: %s: %s\n", h.Submission[15], h.Refusal.Reason, h.Refusal.Detail)
	}
	for _, a := range b.p.Dispatch(b.now) {
		fmt.Fprintf(&b.out, "  to %s: job %d tasks %v\n", a.Agent, a.Submission[15], a.Tasks)
	}
}

func (b *scriptBench) number(l scripter.Line, name string) int {
	text := l.Arg(name)
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		b.t.Fatalf("%v: %v", l, err)
	}
	return n
}

func (b *scriptBench) duration(l scripter.Line, name string) time.Duration {
	text := l.Arg(name)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		b.t.Fatalf("%v: %v", l, err)
	}
	return d
}
