package placer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

var epoch = time.Unix(1_700_000_000, 0)

func submission(n int) identifier.Submission {
	var s identifier.Submission
	binary.BigEndian.PutUint64(s[8:], uint64(n))
	return s
}

// busyPlacer returns a placer with a long queue and without a free slot, and the
// outstanding tasks.
func busyPlacer(agents int) (*Placer, []End) {
	p := New(Limits{MaxQueued: 1 << 30})
	for i := range agents {
		peer := messenger.Peer(fmt.Sprintf("agent-%d", i))
		p.AgentUp(epoch, peer, Location{})
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
	j.Requirements = make([]Requirements, tasks)
	j.Tasks = make([]uint16, tasks)
	for i := range tasks {
		j.Requirements[i].RunTime = 300 * time.Millisecond
		j.Tasks[i] = uint16(i)
	}
	if r := p.Enqueue(epoch, j); r.Reason != "" {
		panic(r.Detail)
	}
}

// BenchmarkDecision measures the end of one task and the dispatch that follows.
func BenchmarkDecision(b *testing.B) {
	for _, agents := range []int{11, 110, 900} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			p, running := busyPlacer(agents)
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

// BenchmarkCreditedDecision is BenchmarkDecision with agents that set a credit, as all
// agents do in production. Jobs that leave a reserve and bulk jobs then wait.
func BenchmarkCreditedDecision(b *testing.B) {
	for _, agents := range []int{11, 110, 900} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			p, running := busyPlacer(agents)
			for i := range agents {
				p.SetCredit(epoch, messenger.Peer(fmt.Sprintf("agent-%d", i)), 16)
			}
			s := &taskStream{p: p, running: slices.Grow(running, 64*len(running)), next: 1_000_000}
			b.ReportAllocs()
			for b.Loop() {
				if p.Queued() < 600 {
					b.StopTimer()
					s.refill()
					b.StartTimer()
				}
				s.step()
			}
		})
	}
}

// taskStream ends tasks in the order in which they were scheduled.
type taskStream struct {
	p       *Placer
	running []End // the first head tasks have ended
	head    int
	next    int // number of the latest job
}

func (s *taskStream) refill() {
	for range 1000 {
		s.next++
		enqueue(s.p, s.next, 580)
	}
}

// step ends one task and dispatches.
func (s *taskStream) step() {
	s.p.Ended(epoch, s.running[s.head])
	s.head++
	for _, a := range s.p.Dispatch(epoch) {
		for _, index := range a.Tasks {
			s.running = append(s.running, End{
				Agent: a.Agent, Submission: a.Submission, Index: index,
				Kind: messenger.ResultDone, RunTime: 300 * time.Millisecond,
			})
		}
	}
	if s.head > len(s.running)/2 {
		s.running = s.running[:copy(s.running, s.running[s.head:])]
		s.head = 0
	}
}

// TestDecisionAllocatesNothing checks that the decision measured by BenchmarkDecision
// allocates nothing.
func TestDecisionAllocatesNothing(t *testing.T) {
	p, running := busyPlacer(900)
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

// TestDecisionComparesLogarithmically checks that a decision takes logarithmic time. It
// counts comparisons, so that the result does not depend on the machine.
func TestDecisionComparesLogarithmically(t *testing.T) {
	comparisons := func(agents int) int {
		p, running := busyPlacer(agents)
		enqueue(p, 2_000_000, 580)
		n := 0
		available := &p.serviceOrder[0].available
		before := available.before
		available.before = func(a, b *membership) bool { n++; return before(a, b) }
		for i := range 200 {
			p.Ended(epoch, running[i])
		}
		n = 0
		p.Dispatch(epoch)
		return n
	}
	// Twenty comparisons a task are twice the depth of a heap of 900 agents.
	if n := comparisons(900); n > 200*20 {
		t.Errorf("200 decisions took %d comparisons, want at most %d", n, 200*20)
	}
}

// TestNeverBeyondCredit drives the placer at random and checks its bounds. Of jobs that
// are not bulk jobs, no agent has more tasks than its credit, and of bulk jobs at most
// BulkPerSlot more for each slot. An agent that has set no credit has no more tasks than
// slots. No task is scheduled twice, and every task of a job that is not dropped is
// scheduled eventually.
func TestNeverBeyondCredit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newModel(rt)
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

type model struct {
	rt        *rapid.T
	p         *Placer
	now       time.Time
	jobs      int
	credit    map[messenger.Peer]int
	creditSet map[messenger.Peer]bool // the agents that have set their credit
	bulk      map[identifier.Submission]bool
	at        map[taskRef]messenger.Peer
	waiting   map[taskRef]bool
}

func newModel(rt *rapid.T) *model {
	w := &model{
		rt: rt, p: New(Limits{FailureStreak: 1 << 20, FailureRatio: 2}), now: epoch, credit: make(map[messenger.Peer]int),
		at: make(map[taskRef]messenger.Peer), waiting: make(map[taskRef]bool),
		creditSet: make(map[messenger.Peer]bool), bulk: make(map[identifier.Submission]bool),
	}
	for i := range 3 {
		w.up(messenger.Peer(fmt.Sprint("agent-", i)))
	}
	return w
}

func (w *model) up(peer messenger.Peer) {
	w.p.AgentUp(w.now, peer, Location{})
	w.credit[peer] = 4
	w.creditSet[peer] = false
	w.p.SetCapacity(w.now, peer, messenger.Capacity{
		State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 4, MemoryBytes: 100,
	})
}

func (w *model) peer(rt *rapid.T) messenger.Peer {
	return messenger.Peer(fmt.Sprint("agent-", rapid.IntRange(0, 2).Draw(rt, "agent")))
}

func (w *model) enqueue(rt *rapid.T) {
	w.jobs++
	j := Job{Submission: submission(w.jobs), Service: "print", Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")}
	for i := range rapid.IntRange(1, 12).Draw(rt, "tasks") {
		j.Requirements = append(j.Requirements, Requirements{MemoryBytes: int64(rapid.IntRange(0, 100).Draw(rt, "memory"))})
		j.Tasks = append(j.Tasks, uint16(i))
		w.waiting[taskRef{j.Submission, uint16(i)}] = true
	}
	w.classify(&j)
	if r := w.p.Enqueue(w.now, j); r.Reason != "" {
		rt.Fatalf("refused: %v", r)
	}
}

func (w *model) end(rt *rapid.T) {
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

func (w *model) drop(rt *rapid.T) {
	s := submission(rapid.IntRange(1, max(1, w.jobs)).Draw(rt, "job"))
	w.p.Drop(s)
	for i := range 12 {
		delete(w.waiting, taskRef{s, uint16(i)})
	}
}

func (w *model) setCredit(rt *rapid.T) {
	peer := w.peer(rt)
	w.credit[peer] = rapid.IntRange(0, 4).Draw(rt, "credit")
	w.creditSet[peer] = true
	w.p.SetCredit(w.now, peer, w.credit[peer])
}

// classify records whether a new job is a bulk job.
func (w *model) classify(j *Job) {
	credits := 0
	for _, n := range w.credit {
		credits += n
	}
	w.bulk[j.Submission] = credits > 0 && len(j.Tasks) >= credits
}

func (w *model) restart(rt *rapid.T) {
	peer := w.peer(rt)
	for ref, at := range w.at {
		if at == peer {
			delete(w.at, ref)
		}
	}
	w.p.AgentDown(w.now, peer)
	w.up(peer)
}

func (w *model) check(rt *rapid.T) {
	before := w.outstanding()
	for _, a := range w.p.Dispatch(w.now) {
		for _, index := range a.Tasks {
			ref := taskRef{a.Submission, index}
			if !w.waiting[ref] {
				rt.Fatalf("task %v is scheduled but was not queued", ref)
			}
			delete(w.waiting, ref)
			w.at[ref] = a.Agent
		}
	}
	for peer := range w.credit {
		w.checkAgent(rt, peer, before[peer])
	}
	if got := w.p.Queued(); got != len(w.waiting) {
		rt.Fatalf("%d tasks are queued, want %d", got, len(w.waiting))
	}
}

// checkAgent checks the bounds on the counts that have grown since before.
func (w *model) checkAgent(rt *rapid.T, peer messenger.Peer, before taskCounts) {
	now := w.outstanding()[peer]
	credit := w.credit[peer]
	if now.small > before.small && now.small > credit {
		rt.Fatalf("%s has %d tasks of small jobs and a credit of %d", peer, now.small, credit)
	}
	if most := credit + 4*w.p.limits.BulkPerSlot; now.bulk > before.bulk && now.bulk > most {
		rt.Fatalf("%s has %d tasks of bulk jobs, and %d are allowed", peer, now.bulk, most)
	}
	if all := now.small + now.bulk; !w.creditSet[peer] && all > before.small+before.bulk && all > credit {
		rt.Fatalf("%s has %d tasks and %d slots", peer, all, credit)
	}
}

// taskCounts counts an agent's tasks of small jobs and of bulk jobs.
type taskCounts struct{ small, bulk int }

func (w *model) outstanding() map[messenger.Peer]taskCounts {
	out := make(map[messenger.Peer]taskCounts)
	for ref, peer := range w.at {
		l := out[peer]
		if w.bulk[ref.submission] {
			l.bulk++
		} else {
			l.small++
		}
		out[peer] = l
	}
	return out
}

// drain ends tasks until none is queued.
func (w *model) drain() {
	for peer := range w.credit {
		w.credit[peer] = 4
		w.creditSet[peer] = true
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
		w.rt.Fatalf("tasks that were never scheduled (-want +got):\n%s", diff)
	}
	for _, s := range w.p.serviceOrder {
		if s.work != 0 {
			w.rt.Fatalf("no task is queued, but the queued work is %v", s.work)
		}
	}
}
