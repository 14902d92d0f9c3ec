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

// filled returns a placer whose agents are all busy and whose queue is long, and
// the tasks that are outstanding.
func filled(agents int) (*Placer, []End) {
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

// BenchmarkCreditedDecision is BenchmarkDecision with agents that set a credit, as
// all do. Then jobs wait that leave a reserve, and others that are deep.
func BenchmarkCreditedDecision(b *testing.B) {
	for _, agents := range []int{11, 110, 900} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			p, running := filled(agents)
			for i := range agents {
				p.SetCredit(epoch, messenger.Peer(fmt.Sprintf("agent-%d", i)), 16)
			}
			s := &stream{p: p, running: slices.Grow(running, 64*len(running)), next: 1_000_000}
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

// stream ends tasks in the order in which they were placed.
type stream struct {
	p       *Placer
	running []End // the first head tasks have ended.
	head    int
	next    int // next is the number of the next job.
}

func (s *stream) refill() {
	for range 1000 {
		s.next++
		enqueue(s.p, s.next, 580)
	}
}

// step ends one task and places what can be placed then.
func (s *stream) step() {
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
		seats := &p.serviceOrder[0].available
		before := seats.before
		seats.before = func(a, b *membership) bool { n++; return before(a, b) }
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

// TestNeverBeyondCredit drives the placer at random. Of jobs that came with fewer
// tasks than there were credits no agent ever has more tasks than its credit, and
// of the others at most Deep more for each slot. An agent that has set no credit
// never has more tasks than slots. No task is placed twice, and every task of a
// job that is not dropped is placed in the end.
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
	set     map[messenger.Peer]bool // set has the agents that have set their credit.
	deep    map[identifier.Submission]bool
	at      map[taskRef]messenger.Peer
	waiting map[taskRef]bool
}

func newWorld(rt *rapid.T) *world {
	w := &world{
		rt: rt, p: New(Limits{FailureStreak: 1 << 20, FailureRatio: 2}), now: epoch, credit: make(map[messenger.Peer]int),
		at: make(map[taskRef]messenger.Peer), waiting: make(map[taskRef]bool),
		set: make(map[messenger.Peer]bool), deep: make(map[identifier.Submission]bool),
	}
	for i := range 3 {
		w.up(messenger.Peer(fmt.Sprint("agent-", i)))
	}
	return w
}

func (w *world) up(peer messenger.Peer) {
	w.p.AgentUp(w.now, peer, Location{})
	w.credit[peer] = 4
	w.set[peer] = false
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
		j.Requirements = append(j.Requirements, Requirements{MemoryBytes: int64(rapid.IntRange(0, 100).Draw(rt, "memory"))})
		j.Tasks = append(j.Tasks, uint16(i))
		w.waiting[taskRef{j.Submission, uint16(i)}] = true
	}
	w.mark(&j)
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
	w.set[peer] = true
	w.p.SetCredit(w.now, peer, w.credit[peer])
}

// mark notes a new job as one that may have tasks beyond the credits.
func (w *world) mark(j *Job) {
	credits := 0
	for _, n := range w.credit {
		credits += n
	}
	w.deep[j.Submission] = credits > 0 && len(j.Tasks) >= credits
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
	for peer := range w.credit {
		w.checkAgent(rt, peer, before[peer])
	}
	if got := w.p.Queued(); got != len(w.waiting) {
		rt.Fatalf("%d tasks are queued, want %d", got, len(w.waiting))
	}
}

// checkAgent holds the bounds for what has grown since before.
func (w *world) checkAgent(rt *rapid.T, peer messenger.Peer, before load) {
	now := w.outstanding()[peer]
	credit := w.credit[peer]
	if now.small > before.small && now.small > credit {
		rt.Fatalf("%s has %d tasks of small jobs and a credit of %d", peer, now.small, credit)
	}
	if most := credit + 4*w.p.limits.BulkPerSlot; now.deep > before.deep && now.deep > most {
		rt.Fatalf("%s has %d tasks of deep jobs, and %d are allowed", peer, now.deep, most)
	}
	if all := now.small + now.deep; !w.set[peer] && all > before.small+before.deep && all > credit {
		rt.Fatalf("%s has %d tasks and %d slots", peer, all, credit)
	}
}

// load counts the tasks at an agent of jobs that came with fewer tasks than there
// were credits, and of the others.
type load struct{ small, deep int }

func (w *world) outstanding() map[messenger.Peer]load {
	out := make(map[messenger.Peer]load)
	for ref, peer := range w.at {
		l := out[peer]
		if w.deep[ref.submission] {
			l.deep++
		} else {
			l.small++
		}
		out[peer] = l
	}
	return out
}

// drain ends tasks until nothing waits.
func (w *world) drain() {
	for peer := range w.credit {
		w.credit[peer] = 4
		w.set[peer] = true
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
