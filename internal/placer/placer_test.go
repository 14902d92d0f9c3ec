package placer

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

func submission(n int) identifier.Submission {
	var s identifier.Submission
	binary.BigEndian.PutUint64(s[8:], uint64(n))
	return s
}

// filled returns a placer whose agents are all busy and whose queue is long, and
// the tasks that are outstanding.
func filled(agents int) (*Placer, []End) {
	p := New(Limits{MaxQueued: 1 << 30})
	for i := range agents {
		peer := messenger.Peer(fmt.Sprintf("agent-%d", i))
		p.AgentUp(epoch, peer, Place{})
		p.SetCapacity(epoch, peer, messenger.Capacity{
			State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 8,
		})
	}
	enqueue(p, 0, 580)
	var running []End
	for jobs := 1; len(running) < agents*8; jobs++ {
		enqueue(p, jobs, 580)
		for _, a := range p.Dispatch(epoch) {
			for _, index := range a.Tasks {
				running = append(running, End{
					Agent: a.Agent, Submission: a.Submission, Index: index,
					Kind: messenger.ResultDone, RunTime: 300 * time.Millisecond,
				})
			}
		}
	}
	return p, running
}

func enqueue(p *Placer, n, tasks int) {
	j := Job{Submission: submission(n), Service: "print", Team: "brewery"}
	j.Needs = make([]Need, tasks)
	j.Tasks = make([]uint16, tasks)
	for i := range tasks {
		j.Needs[i].RunTime = 300 * time.Millisecond
		j.Tasks[i] = uint16(i)
	}
	if r := p.Enqueue(epoch, j); r.Reason != "" {
		panic(r.Detail)
	}
}

// BenchmarkDecision measures one end of a task and the placement that follows.
func BenchmarkDecision(b *testing.B) {
	for _, agents := range []int{11, 110, 900} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			p, running := filled(agents)
			b.ReportAllocs()
			next := 1_000_000
			for i := 0; b.Loop(); i++ {
				if p.Queued() < 600 {
					b.StopTimer()
					for range 1000 {
						next++
						enqueue(p, next, 580)
					}
					b.StartTimer()
				}
				e := &running[i%len(running)]
				p.Ended(epoch, *e)
				for _, a := range p.Dispatch(epoch) {
					e.Submission, e.Index = a.Submission, a.Tasks[0]
				}
			}
		})
	}
}

// TestDecisionAllocatesNothing holds for the decision that the benchmark times.
func TestDecisionAllocatesNothing(t *testing.T) {
	p, running := filled(900)
	enqueue(p, 2_000_000, 580)
	i := 0
	got := testing.AllocsPerRun(500, func() {
		e := &running[i]
		i++
		p.Ended(epoch, *e)
		for _, a := range p.Dispatch(epoch) {
			e.Submission, e.Index = a.Submission, a.Tasks[0]
		}
	})
	if got != 0 {
		t.Errorf("a decision allocates %v times, want 0", got)
	}
}

// TestDecisionComparesLogarithmically counts the comparisons of one decision, so
// that the verdict does not depend on the machine.
func TestDecisionComparesLogarithmically(t *testing.T) {
	comparisons := func(agents int) int {
		p, running := filled(agents)
		enqueue(p, 2_000_000, 580)
		n := 0
		seats := &p.serviceOrder[0].seats
		before := seats.before
		seats.before = func(a, b *seat) bool { n++; return before(a, b) }
		for i := range 200 {
			p.Ended(epoch, running[i])
		}
		n = 0
		p.Dispatch(epoch)
		return n
	}
	// Twenty comparisons a task are twice the depth of the heap of 200.
	if n := comparisons(900); n > 200*20 {
		t.Errorf("200 decisions took %d comparisons, want at most %d", n, 200*20)
	}
}

// TestNeverBeyondCredit drives the placer at random: no agent ever has more
// tasks than its credit, no task is placed twice, and every task of a job that
// is not dropped is placed in the end.
func TestNeverBeyondCredit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"enqueue": w.enqueue,
			"end":     w.end,
			"drop":    w.drop,
			"credit":  w.setCredit,
			"agent":   w.restart,
			"":        w.check,
		})
		w.drain()
	})
}

type world struct {
	rt      *rapid.T
	p       *Placer
	now     time.Time
	jobs    int
	credit  map[messenger.Peer]int
	at      map[taskRef]messenger.Peer
	waiting map[taskRef]bool
}

func newWorld(rt *rapid.T) *world {
	w := &world{
		rt: rt, p: New(Limits{FailureStreak: 1 << 20, FailureRatio: 2}), now: epoch, credit: make(map[messenger.Peer]int),
		at: make(map[taskRef]messenger.Peer), waiting: make(map[taskRef]bool),
	}
	for i := range 3 {
		w.up(messenger.Peer(fmt.Sprint("agent-", i)))
	}
	return w
}

func (w *world) up(peer messenger.Peer) {
	w.p.AgentUp(w.now, peer, Place{})
	w.credit[peer] = 4
	w.p.SetCapacity(w.now, peer, messenger.Capacity{
		State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 4, MemoryBytes: 100,
	})
}

func (w *world) peer(rt *rapid.T) messenger.Peer {
	return messenger.Peer(fmt.Sprint("agent-", rapid.IntRange(0, 2).Draw(rt, "agent")))
}

func (w *world) enqueue(rt *rapid.T) {
	w.jobs++
	j := Job{Submission: submission(w.jobs), Service: "print", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")}
	for i := range rapid.IntRange(1, 12).Draw(rt, "tasks") {
		j.Needs = append(j.Needs, Need{MemoryBytes: int64(rapid.IntRange(0, 100).Draw(rt, "memory"))})
		j.Tasks = append(j.Tasks, uint16(i))
		w.waiting[taskRef{j.Submission, uint16(i)}] = true
	}
	if r := w.p.Enqueue(w.now, j); r.Reason != "" {
		rt.Fatalf("refused: %v", r)
	}
}

func (w *world) end(rt *rapid.T) {
	kind := rapid.SampledFrom([]messenger.ResultKind{messenger.ResultDone, messenger.ResultFailed}).Draw(rt, "kind")
	for n := 1; n <= w.jobs; n++ {
		for i := range 12 {
			ref := taskRef{submission(n), uint16(i)}
			if peer, ok := w.at[ref]; ok {
				delete(w.at, ref)
				w.p.Ended(w.now, End{Agent: peer, Submission: ref.submission, Index: ref.index, Kind: kind, RunTime: time.Second})
				return
			}
		}
	}
}

func (w *world) drop(rt *rapid.T) {
	s := submission(rapid.IntRange(1, max(1, w.jobs)).Draw(rt, "job"))
	w.p.Drop(s)
	for i := range 12 {
		delete(w.waiting, taskRef{s, uint16(i)})
	}
}

func (w *world) setCredit(rt *rapid.T) {
	peer := w.peer(rt)
	w.credit[peer] = rapid.IntRange(0, 4).Draw(rt, "credit")
	w.p.SetCredit(w.now, peer, w.credit[peer])
}

func (w *world) restart(rt *rapid.T) {
	peer := w.peer(rt)
	for ref, at := range w.at {
		if at == peer {
			delete(w.at, ref)
		}
	}
	w.p.AgentDown(w.now, peer)
	w.up(peer)
}

func (w *world) check(rt *rapid.T) {
	before := w.outstanding()
	for _, a := range w.p.Dispatch(w.now) {
		for _, index := range a.Tasks {
			ref := taskRef{a.Submission, index}
			if !w.waiting[ref] {
				rt.Fatalf("task %v is placed and does not wait", ref)
			}
			delete(w.waiting, ref)
			w.at[ref] = a.Agent
		}
	}
	for peer, n := range w.outstanding() {
		if n > before[peer] && n > w.credit[peer] {
			rt.Fatalf("%s has %d tasks and a credit of %d", peer, n, w.credit[peer])
		}
	}
	if got := w.p.Queued(); got != len(w.waiting) {
		rt.Fatalf("%d tasks are queued, want %d", got, len(w.waiting))
	}
}

func (w *world) outstanding() map[messenger.Peer]int {
	out := make(map[messenger.Peer]int)
	for _, peer := range w.at {
		out[peer]++
	}
	return out
}

// drain ends tasks until nothing waits.
func (w *world) drain() {
	for peer := range w.credit {
		w.credit[peer] = 4
		w.p.SetCredit(w.now, peer, 4)
	}
	for range 12 * (w.jobs + 1) {
		w.check(w.rt)
		for ref, peer := range w.at {
			delete(w.at, ref)
			w.p.Ended(w.now, End{Agent: peer, Submission: ref.submission, Index: ref.index, Kind: messenger.ResultDone})
		}
	}
	w.check(w.rt)
	if diff := cmp.Diff(0, len(w.waiting)); diff != "" {
		w.rt.Fatalf("tasks wait for ever (-want +got):\n%s", diff)
	}
	for _, s := range w.p.serviceOrder {
		if s.work != 0 {
			w.rt.Fatalf("no task waits, yet %v of work", s.work)
		}
	}
}
