package cmd

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// counted is one entry with agents in virtual time: the real decisions with the
// limits of production, and messages that take a fixed time. It counts messages.
type counted struct {
	now      time.Time
	calendar calendar
	sequence int
	random   *rand.Rand
	ids      identifier.Generator
	store    *emulator.Platform
	entry    *coordinator.Coordinator
	agents   map[messenger.Peer]*countedAgent
	order    []messenger.Peer
	runTime  func() time.Duration
	peak     int64 // peak is the memory that results report; 0 if they report none.
	memory   int64 // memory is what the latest start said that its task takes.
	tickets  uint64
	messages int
	bytes    int
	read     int // read counts the bytes of rows that were read, as JSON.
	starts   int
	answers  int
	complete int
}

type countedAgent struct {
	peer  messenger.Peer
	guard *guard.Guard
}

// due is something that happens at a time.
type due struct {
	at       time.Time
	sequence int
	do       func()
}

type calendar []due

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(a, b int) bool {
	if !c[a].at.Equal(c[b].at) {
		return c[a].at.Before(c[b].at)
	}
	return c[a].sequence < c[b].sequence
}
func (c calendar) Swap(a, b int) { c[a], c[b] = c[b], c[a] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(due)) }
func (c *calendar) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

const (
	countedSeed    = 11
	countedLatency = 250 * time.Microsecond
	countedEntry   = messenger.Peer("entry")
	countedStart   = 1_700_000_000
)

func newCounted(agents int) *counted {
	w := &counted{
		now:    time.Unix(countedStart, 0),
		random: rand.New(rand.NewPCG(countedSeed, 1)),
		ids:    identifier.Generator{Random: rand.NewChaCha8([32]byte{countedSeed})},
		store:  emulator.NewPlatform(countedSeed, emulator.Faults{}),
		agents: make(map[messenger.Peer]*countedAgent),
	}
	self := registrar.Entry{Peer: countedEntry, Region: "default", DataCentre: "default", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}
	w.entry = coordinator.New(self, entryLimits(), coordinator.DefaultRules())
	w.entry.SetPath("quote", "/quote")
	for i := range agents {
		a := &countedAgent{peer: messenger.Peer(fmt.Sprintf("agent-%02d", i)), guard: guard.New(w.now, agentLimits())}
		w.agents[a.peer] = a
		w.order = append(w.order, a.peer)
		a.guard.EntryUp(w.now, countedEntry)
		w.entry.PeerUp(w.now, messenger.Hello{
			Version: messenger.ProtocolVersion, Peer: a.peer, Role: messenger.RoleAgent,
			Region: "default", DataCentre: "default", Rack: "r", Epochs: a.guard.Epochs(),
		})
		w.announce(a)
	}
	w.tickEntry()
	w.tickAgents()
	return w
}

// after plans something.
func (w *counted) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.calendar, due{w.now.Add(d), w.sequence, do})
}

// runUntil lets things happen until done or for as long as the limit says.
func (w *counted) runUntil(limit time.Duration, done func() bool) bool {
	end := w.now.Add(limit)
	for !done() && len(w.calendar) > 0 && w.calendar[0].at.Before(end) {
		next := heap.Pop(&w.calendar).(due)
		w.now = next.at
		next.do()
	}
	return done()
}

func (w *counted) tickEntry() {
	w.entry.Tick(w.now)
	w.flushEntry()
	w.after(10*time.Millisecond, w.tickEntry)
}

func (w *counted) tickAgents() {
	for _, peer := range w.order {
		w.agents[peer].guard.Tick(w.now)
		w.flushAgent(w.agents[peer])
	}
	w.after(50*time.Millisecond, w.tickAgents)
}

func (w *counted) announce(a *countedAgent) {
	a.guard.Announce(w.now, invoker.Announcement{
		Address: netip.MustParseAddrPort("127.0.0.1:2"), Services: []string{"quote"}, Slots: 8, Connections: 64,
		MemoryBytes: 32 << 30, TimeToLive: submitter.Duration(5 * time.Second),
	})
	w.flushAgent(a)
	w.after(2*time.Second, func() { w.announce(a) })
}

func (w *counted) flushEntry() {
	out := w.entry.Take(w.now)
	for _, s := range out.Sends {
		a := w.agents[s.To]
		w.count(s.Frame)
		for i := range s.Frame.Starts {
			w.memory = s.Frame.Starts[i].Tasks[0].MemoryBytes
		}
		w.after(countedLatency, func() {
			a.guard.Receive(w.now, countedEntry, s.Frame)
			w.flushAgent(a)
		})
	}
	for _, a := range out.Answers {
		w.answers++
		if a.Answer.Outcome == string(submitter.OutcomeComplete) {
			w.complete++
		}
	}
	for _, r := range out.Reads {
		w.after(countedLatency, func() {
			w.entry.StoreRead(w.now, r.ID, w.readTable(r.Prefix), nil)
			w.flushEntry()
		})
	}
	for _, x := range out.Writes {
		w.after(countedLatency, func() {
			w.entry.StoreWritten(w.now, x.ID, w.store.Write(x.Transaction), nil)
			w.flushEntry()
		})
	}
}

// readTable reads rows as the platform sends them.
func (w *counted) readTable(prefix string) storer.Range {
	rows := w.store.Read(prefix)
	// A range always encodes; a fault would show as 0 bytes.
	body, _ := json.Marshal(rows)
	w.read += len(body)
	return rows
}

// followConfig polls the version of the configuration as an entry does.
func (w *counted) followConfig(a *applier.Applier) {
	a.Tick(w.now)
	if a.Take(w.now).ReadHead {
		w.readTable(configurer.CurrentKey)
		a.HeadRead(w.now, 0, nil)
	}
	w.after(100*time.Millisecond, func() { w.followConfig(a) })
}

func (w *counted) flushAgent(a *countedAgent) {
	out := a.guard.Take(w.now)
	for _, call := range out.Invocations {
		took := w.runTime()
		w.starts++
		w.after(took, func() {
			a.guard.Ended(w.now, call.Ref, messenger.TaskResult{
				Index: call.Ref.Index, Kind: messenger.ResultDone, Payload: call.Payload, RunTime: took, PeakMemoryBytes: w.peak,
			})
			w.flushAgent(a)
		})
	}
	for _, s := range out.Sends {
		w.count(s.Frame)
		w.after(countedLatency, func() {
			w.entry.Receive(w.now, a.peer, s.Frame)
			w.flushEntry()
		})
	}
	if !out.Wake.IsZero() {
		w.after(out.Wake.Sub(w.now), func() { w.flushAgent(a) })
	}
}

// count counts a frame as a message of its own.
func (w *counted) count(f *messenger.Frame) {
	var buf bytes.Buffer
	// What the processes send always encodes; a fault would show as 0 bytes.
	_ = messenger.Append(&buf, f)
	w.messages++
	w.bytes += buf.Len()
}

// submit submits a job to the owner of its partition.
func (w *counted) submit(ticket uint64, tasks int) {
	job := owner.Job{
		Submission: w.ids.New(w.now),
		Service:    "quote",
		Deadline:   w.now.Add(time.Minute),
		Tasks:      make([]messenger.TaskSpec, tasks),
	}
	for i := range job.Tasks {
		job.Tasks[i] = messenger.TaskSpec{Payload: json.RawMessage(`{}`), RunTime: time.Millisecond, MemoryBytes: 1 << 20}
	}
	w.entry.Submit(w.now, ticket, job)
	w.flushEntry()
}

// messagesPerTask runs jobs from several callers, each of which submits its next
// job when the last is answered, and returns the messages between the entry and
// the agents a task.
func messagesPerTask(t *testing.T, jobs, callers, tasks int, runTime func(*rand.Rand) time.Duration) float64 {
	t.Helper()
	w := newCounted(11)
	w.runTime = func() time.Duration { return runTime(w.random) }
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, 11) }) {
		t.Fatal("the entry does not serve")
	}
	// The first jobs make leases rest on traffic and are not counted.
	warm := jobs / 4
	w.submitAll(t, warm, callers, tasks)
	w.messages, w.starts, w.answers, w.complete = 0, 0, 0, 0
	w.submitAll(t, jobs, callers, tasks)
	if w.complete != jobs {
		t.Fatalf("%d of %d jobs are complete", w.complete, jobs)
	}
	return float64(w.messages) / float64(w.starts)
}

// submitAll submits jobs from several callers and waits for all answers.
func (w *counted) submitAll(t *testing.T, jobs, callers, tasks int) {
	t.Helper()
	for i := range jobs {
		if !w.runUntil(time.Minute, func() bool { return w.answers > i-callers }) {
			t.Fatalf("job %d has no answer", i)
		}
		w.tickets++
		w.submit(w.tickets, tasks)
	}
	if !w.runUntil(time.Minute, func() bool { return w.answers == jobs }) {
		t.Fatalf("%d of %d jobs have an answer", w.answers, jobs)
	}
}

// TestStartsSayLearnedMemory holds that agents get the memory that results have
// taught and not what the caller declared, which is 1 MiB.
func TestStartsSayLearnedMemory(t *testing.T) {
	const peak = 5 << 20
	w := newCounted(11)
	w.peak = peak
	w.runTime = func() time.Duration { return time.Millisecond }
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, 11) }) {
		t.Fatal("the entry does not serve")
	}
	w.submitAll(t, 1, 1, 1)
	if w.memory != 1<<20 {
		t.Errorf("the first start says %d bytes, want %d", w.memory, 1<<20)
	}
	w.answers = 0
	w.submitAll(t, 30, 1, 1)
	if w.memory != peak {
		t.Errorf("after 31 results of %d bytes a start says %d", peak, w.memory)
	}
}

// between draws a run time evenly.
func between(least, most time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return least + time.Duration(r.Int64N(int64(most-least))) }
}

// report prints a line for .ci/bench and fails if the value is over its bound.
func report(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, over %.4g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %.4g %s\n", name, value, unit, bound, verdict)
}

// TestMessagesOfSingleTasks holds the bound for single-task jobs at their owner.
func TestMessagesOfSingleTasks(t *testing.T) {
	report(t, "messages-per-task-single", messagesPerTask(t, 4000, 32, 1, between(time.Millisecond, 5*time.Millisecond)), "1", 2)
}

// TestMessagesOfLargeJobs holds the bound for jobs of 580 short tasks.
func TestMessagesOfLargeJobs(t *testing.T) {
	report(t, "messages-per-task-580", messagesPerTask(t, 64, 8, 580, between(time.Millisecond, 5*time.Millisecond)), "1", 0.2)
}

// TestTrafficAtRest holds what an entry sends and gets while nothing runs to the
// bound for control a node.
func TestTrafficAtRest(t *testing.T) {
	const agents = 900
	w := newCounted(agents)
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, agents) }) {
		t.Fatal("the entry does not serve")
	}
	w.runUntil(10*time.Second, func() bool { return false })
	w.bytes = 0
	w.runUntil(10*time.Second, func() bool { return false })
	report(t, "entry-bytes-at-rest-900-agents", float64(w.bytes)/10, "B/s", 18_000)
}

// TestTrafficWithTableAtRest holds what an entry reads of the table while nothing
// changes to the bound for control a node. The other entries are of another region,
// so that one entry is enough.
func TestTrafficWithTableAtRest(t *testing.T) {
	const agents, entries = 900, 20
	w := newCounted(agents)
	if _, err := launcher.StoreConfig(w.store, "", nil); err != nil {
		t.Fatal(err)
	}
	for i := range entries - 1 {
		other := registrar.Entry{Peer: messenger.Peer(fmt.Sprintf("entry-%02d", i)), Region: "other", DataCentre: "other", PeerAddr: netip.MustParseAddrPort("127.0.0.1:3")}
		w.store.Write(storer.Transaction{RequestID: string(other.Peer), Puts: []storer.Put{registrar.EntryPut(other)}})
	}
	w.followConfig(applier.New(w.now, messenger.Hello{Peer: countedEntry}, applier.DefaultLimits(), nil))
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, agents) }) {
		t.Fatal("the entry does not serve")
	}
	w.runUntil(10*time.Second, func() bool { return false })
	w.read = 0
	w.runUntil(10*time.Second, func() bool { return false })
	if w.read == 0 {
		t.Error("the entry reads nothing, so that it would not learn of a change")
	}
	report(t, "table-bytes-at-rest-900-agents", float64(w.read)/10, "B/s", 18_000)
}

// TestAllocationsOfCodec bounds what a task costs in one start message of 58
// tasks that is encoded and decoded: one payload to hold, and a share of the rest.
func TestAllocationsOfCodec(t *testing.T) {
	const tasks = 58
	f := &messenger.Frame{Starts: []messenger.Start{{Submission: identifier.New(time.Now()), Service: "quote", Path: "/quote", Tasks: make([]messenger.TaskStart, tasks)}}}
	for i := range f.Starts[0].Tasks {
		f.Starts[0].Tasks[i] = messenger.TaskStart{Index: uint16(i), Payload: make([]byte, 100), MemoryBytes: 1 << 20}
	}
	runtime.GC()
	allocations := testing.AllocsPerRun(200, func() { codecRoundTrip(t, f) })
	report(t, "codec-allocations-per-task", allocations/tasks, "1", 3)
}

func codecRoundTrip(t *testing.T, f *messenger.Frame) {
	t.Helper()
	var buf bytes.Buffer
	if err := messenger.Append(&buf, f); err != nil {
		t.Fatal(err)
	}
	if err := messenger.Decode(buf.Bytes(), func(*messenger.Frame) {}); err != nil {
		t.Fatal(err)
	}
}
