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

// simulation runs one entry and its agents in virtual time. They use the production
// logic and limits; every message takes messageLatency. It counts messages and bytes.
type simulation struct {
	now            time.Time
	events         eventQueue
	sequence       int
	random         *rand.Rand
	ids            identifier.Generator
	store          *emulator.Platform
	entry          *coordinator.Coordinator
	agents         map[messenger.Peer]*simulatedAgent
	agentOrder     []messenger.Peer
	runTime        func() time.Duration
	reportedMemory int64 // peak memory that results report, in bytes; 0 if they report none
	startMemory    int64 // memory of the task in the latest start message, in bytes
	lastTicket     uint64
	messages       int
	bytes          int
	bytesRead      int // size of the table rows that were read, as JSON
	starts         int
	answers        int
	complete       int
}

type simulatedAgent struct {
	peer  messenger.Peer
	guard *guard.Guard
}

// event is a function that runs at a virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(a, b int) bool {
	if !c[a].at.Equal(c[b].at) {
		return c[a].at.Before(c[b].at)
	}
	return c[a].sequence < c[b].sequence
}
func (c eventQueue) Swap(a, b int) { c[a], c[b] = c[b], c[a] }
func (c *eventQueue) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

const (
	simulationSeed  = 11
	messageLatency  = 250 * time.Microsecond
	simulatedEntry  = messenger.Peer("entry")
	simulationStart = 1_700_000_000
)

func newSimulation(agents int) *simulation {
	w := &simulation{
		now:    time.Unix(simulationStart, 0),
		random: rand.New(rand.NewPCG(simulationSeed, 1)),
		ids:    identifier.Generator{Random: rand.NewChaCha8([32]byte{simulationSeed})},
		store:  emulator.NewPlatform(simulationSeed, emulator.Faults{}),
		agents: make(map[messenger.Peer]*simulatedAgent),
	}
	self := registrar.Entry{Peer: simulatedEntry, Region: "default", DataCentre: "default", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}
	w.entry = coordinator.New(self, entryLimits(), coordinator.DefaultRules())
	w.entry.SetPath("quote", "/quote")
	for i := range agents {
		a := &simulatedAgent{peer: messenger.Peer(fmt.Sprintf("agent-%02d", i)), guard: guard.New(w.now, agentLimits())}
		w.agents[a.peer] = a
		w.agentOrder = append(w.agentOrder, a.peer)
		a.guard.EntryUp(w.now, simulatedEntry)
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

// schedule runs a function after a duration of virtual time.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now.Add(d), w.sequence, do})
}

// runUntil runs events until done returns true or the limit has passed. It returns
// the last result of done.
func (w *simulation) runUntil(limit time.Duration, done func() bool) bool {
	end := w.now.Add(limit)
	for !done() && len(w.events) > 0 && w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return done()
}

func (w *simulation) tickEntry() {
	w.entry.Tick(w.now)
	w.flushEntry()
	w.schedule(10*time.Millisecond, w.tickEntry)
}

func (w *simulation) tickAgents() {
	for _, peer := range w.agentOrder {
		w.agents[peer].guard.Tick(w.now)
		w.flushAgent(w.agents[peer])
	}
	w.schedule(50*time.Millisecond, w.tickAgents)
}

func (w *simulation) announce(a *simulatedAgent) {
	a.guard.Announce(w.now, invoker.Announcement{
		Address: netip.MustParseAddrPort("127.0.0.1:2"), Services: []string{"quote"}, Slots: 8, Connections: 64,
		MemoryBytes: 32 << 30, TimeToLive: submitter.Duration(5 * time.Second),
	})
	w.flushAgent(a)
	w.schedule(2*time.Second, func() { w.announce(a) })
}

func (w *simulation) flushEntry() {
	out := w.entry.Take(w.now)
	for _, s := range out.Sends {
		a := w.agents[s.To]
		w.count(s.Frame)
		for i := range s.Frame.Starts {
			w.startMemory = s.Frame.Starts[i].Tasks[0].MemoryBytes
		}
		w.schedule(messageLatency, func() {
			a.guard.Receive(w.now, simulatedEntry, s.Frame)
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
		w.schedule(messageLatency, func() {
			w.entry.StoreRead(w.now, r.ID, w.readTable(r.Prefix), nil)
			w.flushEntry()
		})
	}
	for _, x := range out.Writes {
		w.schedule(messageLatency, func() {
			w.entry.StoreWritten(w.now, x.ID, w.store.Write(x.Transaction), nil)
			w.flushEntry()
		})
	}
}

// readTable reads rows and counts their bytes in the platform's encoding.
func (w *simulation) readTable(prefix string) storer.Range {
	rows := w.store.Read(prefix)
	// Encoding a range cannot fail; a failure would be counted as 0 bytes.
	body, _ := json.Marshal(rows)
	w.bytesRead += len(body)
	return rows
}

// followConfig polls the current version of the configuration like an entry.
func (w *simulation) followConfig(a *applier.Applier) {
	a.Tick(w.now)
	if a.Take(w.now).ReadHead {
		w.readTable(configurer.CurrentKey)
		a.HeadRead(w.now, 0, nil)
	}
	w.schedule(100*time.Millisecond, func() { w.followConfig(a) })
}

func (w *simulation) flushAgent(a *simulatedAgent) {
	out := a.guard.Take(w.now)
	for _, call := range out.Invocations {
		took := w.runTime()
		w.starts++
		w.schedule(took, func() {
			a.guard.Ended(w.now, call.Ref, messenger.TaskResult{
				Index: call.Ref.Index, Kind: messenger.ResultDone, Payload: call.Payload, RunTime: took, PeakMemoryBytes: w.reportedMemory,
			})
			w.flushAgent(a)
		})
	}
	for _, s := range out.Sends {
		w.count(s.Frame)
		w.schedule(messageLatency, func() {
			w.entry.Receive(w.now, a.peer, s.Frame)
			w.flushEntry()
		})
	}
	if !out.Wake.IsZero() {
		w.schedule(out.Wake.Sub(w.now), func() { w.flushAgent(a) })
	}
}

// count counts a frame as one message.
func (w *simulation) count(f *messenger.Frame) {
	var buf bytes.Buffer
	// Encoding a frame cannot fail; a failure would be counted as 0 bytes.
	_ = messenger.Append(&buf, f)
	w.messages++
	w.bytes += buf.Len()
}

// submit submits a job to the owner of its partition.
func (w *simulation) submit(ticket uint64, tasks int) {
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

// messagesPerTask runs jobs from several callers, each of which submits its next job
// after the answer to its previous one. It returns the number of messages between the
// entry and the agents per task.
func messagesPerTask(t *testing.T, jobs, callers, tasks int, runTime func(*rand.Rand) time.Duration) float64 {
	t.Helper()
	w := newSimulation(11)
	w.runTime = func() time.Duration { return runTime(w.random) }
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, 11) }) {
		t.Fatal("the entry does not serve")
	}
	// The warm-up jobs are not counted. After them, task messages renew the leases.
	warm := jobs / 4
	w.submitAll(t, warm, callers, tasks)
	w.messages, w.starts, w.answers, w.complete = 0, 0, 0, 0
	w.submitAll(t, jobs, callers, tasks)
	if w.complete != jobs {
		t.Fatalf("%d of %d jobs are complete", w.complete, jobs)
	}
	return float64(w.messages) / float64(w.starts)
}

// submitAll submits jobs with at most one in flight per caller, and waits for all
// answers.
func (w *simulation) submitAll(t *testing.T, jobs, callers, tasks int) {
	t.Helper()
	for i := range jobs {
		if !w.runUntil(time.Minute, func() bool { return w.answers > i-callers }) {
			t.Fatalf("job %d has no answer", i)
		}
		w.lastTicket++
		w.submit(w.lastTicket, tasks)
	}
	if !w.runUntil(time.Minute, func() bool { return w.answers == jobs }) {
		t.Fatalf("%d of %d jobs have an answer", w.answers, jobs)
	}
}

// TestStartsCarryLearnedMemory checks that start messages carry the memory estimate
// that was learned from results, not the 1 MiB that the caller declared.
func TestStartsCarryLearnedMemory(t *testing.T) {
	const peak = 5 << 20
	w := newSimulation(11)
	w.reportedMemory = peak
	w.runTime = func() time.Duration { return time.Millisecond }
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, 11) }) {
		t.Fatal("the entry does not serve")
	}
	w.submitAll(t, 1, 1, 1)
	if w.startMemory != 1<<20 {
		t.Errorf("the first start says %d bytes, want %d", w.startMemory, 1<<20)
	}
	w.answers = 0
	w.submitAll(t, 30, 1, 1)
	if w.startMemory != peak {
		t.Errorf("after 31 results of %d bytes a start says %d", peak, w.startMemory)
	}
}

// uniform returns a function that draws a run time uniformly from [least, most).
func uniform(least, most time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return least + time.Duration(r.Int64N(int64(most-least))) }
}

// report prints a line for .ci/bench and fails the test if the value is above its
// bound.
func report(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, over %.4g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %.4g %s\n", name, value, unit, bound, verdict)
}

// TestMessagesOfSingleTasks checks the bound on messages per task for single-task jobs
// that are submitted to their owner.
func TestMessagesOfSingleTasks(t *testing.T) {
	report(t, "messages-per-task-single", messagesPerTask(t, 4000, 32, 1, uniform(time.Millisecond, 5*time.Millisecond)), "1", 2)
}

// TestMessagesOfLargeJobs checks the bound on messages per task for jobs of 580 short
// tasks.
func TestMessagesOfLargeJobs(t *testing.T) {
	report(t, "messages-per-task-580", messagesPerTask(t, 64, 8, 580, uniform(time.Millisecond, 5*time.Millisecond)), "1", 0.2)
}

// TestTrafficAtRest checks that the messages of an idle entry, sent and received, stay
// within the bound on control traffic per node.
func TestTrafficAtRest(t *testing.T) {
	const agents = 900
	w := newSimulation(agents)
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, agents) }) {
		t.Fatal("the entry does not serve")
	}
	w.runUntil(10*time.Second, func() bool { return false })
	w.bytes = 0
	w.runUntil(10*time.Second, func() bool { return false })
	report(t, "entry-bytes-at-rest-900-agents", float64(w.bytes)/10, "B/s", 18_000)
}

// TestTrafficWithTableAtRest checks that the table reads of an idle entry stay within
// the bound on control traffic per node. The other entries belong to another region,
// so that simulating one entry suffices.
func TestTrafficWithTableAtRest(t *testing.T) {
	const agents, entries = 900, 20
	w := newSimulation(agents)
	if _, err := launcher.StoreConfig(w.store, "", nil); err != nil {
		t.Fatal(err)
	}
	for i := range entries - 1 {
		other := registrar.Entry{Peer: messenger.Peer(fmt.Sprintf("entry-%02d", i)), Region: "other", DataCentre: "other", PeerAddr: netip.MustParseAddrPort("127.0.0.1:3")}
		w.store.Write(storer.Transaction{RequestID: string(other.Peer), Puts: []storer.Put{registrar.EntryPut(other)}})
	}
	w.followConfig(applier.New(w.now, messenger.Hello{Peer: simulatedEntry}, applier.DefaultLimits(), nil))
	if !w.runUntil(time.Minute, func() bool { return w.entry.Serving(w.now, agents) }) {
		t.Fatal("the entry does not serve")
	}
	w.runUntil(10*time.Second, func() bool { return false })
	w.bytesRead = 0
	w.runUntil(10*time.Second, func() bool { return false })
	if w.bytesRead == 0 {
		t.Error("the entry reads nothing from the table and would not learn of a change")
	}
	report(t, "table-bytes-at-rest-900-agents", float64(w.bytesRead)/10, "B/s", 18_000)
}

// TestAllocationsOfCodec bounds the allocations per task for encoding and decoding one
// start message of 58 tasks: one for the payload, and a share of the rest.
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
