package coordinator_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/leaser"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/timer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// simulation is a whole system with virtual time. Entries and agents are the real state
// machines; callers, upstreams, connections and the platform's table are simulated. A
// scheduler takes each decision from a source of choices, so that repeating the choices
// repeats the history.
type simulation struct {
	pick         func(n int) int // Returns the next choice, from 0 to n-1.
	options      simulationOptions
	now          time.Time
	entries      []*process // A terminated process is replaced at its index.
	agents       []*process
	conns        []*conn // Connections whose end some side has not noticed.
	store        *emulator.Platform
	calls        []*storeCall
	platformDown bool // The platform does not answer.
	// blocked reports whether two processes cannot connect, losesCall whether a
	// platform call is lost, and stallsCall whether it never returns; nil means never.
	blocked    func(a, b *process) bool
	losesCall  func(*storeCall) bool
	stallsCall func(*storeCall) bool
	// onSend is called with every frame that is sent; may be nil.
	onSend     func(*messenger.Frame)
	oracle     oracle
	startCount int
	ids        uint64
	steps      int
	buf        bytes.Buffer     // Buffer for encoding frames.
	trace      *strings.Builder // nil if no trace is wanted.
	regionSplit
}

// simulationOptions are the parameters of a history.
type simulationOptions struct {
	entries, agents  int
	slots            int
	maxEventsPerStep int // Limit of the messages or platform calls handled in one step.
	faultPercent     int // Percentage of steps that are faults.
	// rules, ownerRules and guardRules switch rules off; nil leaves all on.
	rules      func(*coordinator.Rules)
	ownerRules func(*owner.Rules)
	guardRules func(*guard.Rules)
	// limits changes the limits of entries; may be nil.
	limits func(*coordinator.Limits)
	simulationExtras
}

// process is one incarnation of an entry or agent.
type process struct {
	peer        messenger.Peer
	index       int
	role        messenger.Role
	region      string
	clockOffset time.Duration // How far its clock is ahead of the simulated time.
	clockStep   time.Duration // How far its wall clock has been stepped since its start.
	clock       timer.Clock
	alive       bool
	paused      bool
	leaving     bool // An entry that drains, or an agent whose upstream is leaving.
	conns       map[messenger.Peer]*conn
	// side is the side of a split network on which the process is. Processes of
	// different sides cannot connect, and only side 0 reaches the platform.
	side    int
	entry   *coordinator.Coordinator
	guard   *guard.Guard
	running []guard.Invocation // Running calls of the agent's upstream.
}

// storeCall is a platform call in flight.
type storeCall struct {
	from  *process
	read  *registrar.Read
	write *registrar.Write
}

var (
	simulationStart = time.Unix(1_700_000_000, 0)

	// testLimits are short, so that even short histories have takeovers.
	testLimits = coordinator.Limits{
		Owner: owner.Limits{
			Window:           testWindow,
			MaxClockSkew:     testClockSkew,
			MaxRecordBytes:   1 << 20,
			MaxAnswerBytes:   1 << 20,
			AgentLossTimeout: 300 * time.Millisecond,
			MaxReschedules:   8,
			AbandonGrace:     200 * time.Millisecond,
		},
		Placer:    placer.Limits{MaxQueued: 1000},
		Registrar: registrar.Limits{PollInterval: 200 * time.Millisecond, RetryInterval: 50 * time.Millisecond},
		Leaser:    leaser.Limits{LeaseDuration: testLease, Margin: 10 * time.Millisecond},
		Recoverer: recoverer.Limits{
			LeaseDuration: testLease,
			MaxClockSkew:  testClockSkew,
			Window:        testWindow + 2*testClockSkew,
		},
		Enroller: enroller.Limits{
			UnreachableTimeout:        time.Second,
			WitnessUnreachableTimeout: 400 * time.Millisecond,
			Window:                    testWindow + 2*testClockSkew,
			Witnesses:                 3,
		},
		StartTimeout:           200 * time.Millisecond,
		SuspicionTimeout:       150 * time.Millisecond,
		EntryHeartbeatInterval: 50 * time.Millisecond,
		MinConnectionAge:       100 * time.Millisecond,
		AnswerGracePeriod:      20 * time.Millisecond,
		// The records of a few jobs take several pieces, and those of many partitions
		// several handovers.
		HandoverBytes:      4_000,
		HandoverPieceBytes: 500,
	}
	testGuardLimits = guard.Limits{
		Window:         testWindow + 2*testClockSkew + 200*time.Millisecond,
		MaxRecordBytes: 1 << 20,
		MaxWaiting:     8,
	}
)

const (
	testService   = "quote"
	testWindow    = 10 * time.Second
	testClockSkew = 100 * time.Millisecond
	testLease     = 300 * time.Millisecond
)

func newSimulation(pick func(int) int, o simulationOptions) *simulation {
	sim := &simulation{
		pick:    pick,
		options: o,
		now:     simulationStart,
		store:   emulator.NewPlatform(1, emulator.Faults{}),
	}
	sim.oracle.init()
	for index := range o.entries {
		sim.entries = append(sim.entries, sim.startEntry(index))
	}
	for index := range o.agents {
		sim.agents = append(sim.agents, sim.startAgent(index))
	}
	return sim
}

func (sim *simulation) startEntry(index int) *process {
	p := sim.startProcess(messenger.RoleEntry, index)
	rules := coordinator.DefaultRules()
	if sim.options.rules != nil {
		sim.options.rules(&rules)
	}
	limits := testLimits
	if sim.options.limits != nil {
		sim.options.limits(&limits)
	}
	if sim.options.recordBytes > 0 {
		limits.Owner.MaxRecordBytes = sim.options.recordBytes
	}
	limits.Regions = sim.options.regionNames()
	p.entry = coordinator.New(registrar.Entry{
		Peer:       p.peer,
		Region:     p.region,
		DataCentre: "dc-0",
		PeerAddr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + index)}), uint16(1024+sim.startCount)),
	}, limits, rules)
	if sim.options.ownerRules != nil {
		sim.options.ownerRules(&p.entry.Owner().Rules)
	}
	p.entry.SetPath(testService, "/")
	return p
}

func (sim *simulation) startAgent(index int) *process {
	p := sim.startProcess(messenger.RoleAgent, index)
	limits := testGuardLimits
	if sim.options.recordBytes > 0 {
		limits.MaxRecordBytes = sim.options.recordBytes / agentMemoryDivisor
	}
	p.guard = guard.New(p.now(sim), limits)
	if sim.options.guardRules != nil {
		sim.options.guardRules(&p.guard.Rules)
	}
	sim.announce(p)
	return p
}

func (sim *simulation) startProcess(role messenger.Role, index int) *process {
	sim.startCount++
	regions := sim.options.regionNames()
	p := &process{
		peer:   messenger.Peer(fmt.Sprintf("%s-%d.%d", role, index, sim.startCount)),
		index:  index,
		role:   role,
		region: regions[index%len(regions)],
		alive:  true,
		conns:  make(map[messenger.Peer]*conn),
	}
	p.setClockOffset(sim, time.Duration(sim.startCount*37%11)*10*time.Millisecond)
	return p
}

// active reports whether the process handles events.
func (p *process) active() bool { return p.alive && !p.paused }

// flush carries out the actions that a process has decided on.
func (sim *simulation) flush(p *process) {
	if p.role == messenger.RoleAgent {
		sim.flushAgent(p)
		return
	}
	out := p.entry.Take(p.now(sim))
	for _, s := range out.Sends {
		sim.send(p, s.To, s.Frame)
	}
	for _, a := range out.Answers {
		sim.logf("%s answers %d: %s %s (%s)", p.peer, a.Ticket, a.Answer.Outcome, a.Answer.Reason, a.Answer.Detail)
		sim.oracle.answered(p, a)
	}
	for i := range out.Reads {
		sim.calls = append(sim.calls, &storeCall{from: p, read: &out.Reads[i]})
	}
	for i := range out.Writes {
		sim.calls = append(sim.calls, &storeCall{from: p, write: &out.Writes[i]})
	}
}

func (sim *simulation) flushAgent(p *process) {
	out := p.guard.Take(p.now(sim))
	for _, ref := range out.Aborts {
		sim.endTask(p, ref, messenger.ResultFailed)
	}
	for _, call := range out.Invocations {
		sim.logf("%s starts %s/%d", p.peer, sim.oracle.name(call.Ref.Submission), call.Ref.Index)
		sim.oracle.started(call.Ref)
		sim.checkRegion(p, call.Ref)
		sim.checkMemory(p)
		p.running = append(p.running, call)
	}
	for _, s := range out.Sends {
		sim.send(p, s.To, s.Frame)
	}
	if len(out.Aborts) > 0 {
		sim.flush(p)
	}
}

// endTask ends a running call of the upstream.
func (sim *simulation) endTask(p *process, ref guard.TaskRef, kind messenger.ResultKind) {
	for i, call := range p.running {
		if call.Ref != ref {
			continue
		}
		p.running = append(p.running[:i:i], p.running[i+1:]...)
		r := messenger.TaskResult{Index: ref.Index, Kind: kind, Payload: resultOf(call.Payload)}
		if kind != messenger.ResultDone {
			r.Payload = nil
		}
		p.guard.Ended(p.now(sim), ref, r)
		return
	}
}

// resultOf returns the upstream's result for a payload.
func resultOf(payload []byte) []byte { return append([]byte("done:"), payload...) }

func (sim *simulation) announce(p *process) {
	p.guard.Announce(p.now(sim), invoker.Announcement{
		Services:    []string{testService},
		Slots:       sim.options.slots,
		Connections: 8,
		MemoryBytes: 1 << 30,
		TimeToLive:  submitter.Duration(time.Hour),
		Leaving:     p.leaving,
	})
}

// tick makes a process handle the passing of time.
func (sim *simulation) tick(p *process) {
	if p.role == messenger.RoleAgent {
		for _, call := range p.running {
			if !p.now(sim).Before(call.EndBy) {
				sim.endTask(p, call.Ref, messenger.ResultFailed)
			}
		}
		p.guard.Tick(p.now(sim))
		sim.flush(p)
		return
	}
	p.entry.Tick(p.now(sim))
	sim.flush(p)
	sim.oracle.checkDeadlines(sim, p)
	sim.leaveIfDrained(p)
}

// runCall carries out a platform call. Fault 0 is none; 1 loses the call, 2 loses the
// answer, 3 loses the answer and applies the call later.
func (sim *simulation) runCall(i, fault int) {
	c := sim.calls[i]
	sim.calls = append(sim.calls[:i:i], sim.calls[i+1:]...)
	if sim.callIsLost(c) && fault == 0 {
		fault = 1
	}
	var err error
	if fault > 0 {
		err = &storer.Error{Op: "call", Kind: storer.KindUnavailable, Err: fmt.Errorf("fault %d", fault)}
	}
	var rows storer.Range
	var outcome storer.Outcome
	switch {
	case c.read != nil && fault == 0:
		rows = sim.store.Read(c.read.Prefix)
	case c.write != nil && (fault == 0 || fault == 2):
		outcome = sim.store.Write(c.write.Transaction)
	case c.write != nil && fault == 3:
		sim.calls = append(sim.calls, &storeCall{write: c.write})
	}
	if c.from == nil || !c.from.alive {
		return
	}
	if err != nil {
		outcome = storer.Outcome{}
	}
	if c.read != nil {
		c.from.entry.StoreRead(c.from.now(sim), c.read.ID, rows, err)
	} else {
		sim.logf("%s gets the outcome of write %d: applied=%t err=%v", c.from.peer, c.write.ID, outcome.Applied, err)
		c.from.entry.StoreWritten(c.from.now(sim), c.write.ID, outcome, err)
	}
	sim.flush(c.from)
}

// callIsLost reports whether a call does not reach the platform.
func (sim *simulation) callIsLost(c *storeCall) bool {
	return sim.platformDown || c.from != nil && (c.from.side != 0 || sim.lacksPlatform(c.from)) || sim.losesCall != nil && sim.losesCall(c)
}

// newID returns an id with the given time, in a partition that accept returns true for.
func (sim *simulation) newID(at time.Time, accept func(identifier.Partition) bool) identifier.Submission {
	for {
		sim.ids++
		var id identifier.Submission
		var stamp [8]byte
		binary.BigEndian.PutUint64(stamp[:], uint64(at.UnixMilli())<<16)
		copy(id[:6], stamp[:6])
		id[6] = 0x70
		id[8] = 0x80
		binary.BigEndian.PutUint32(id[12:], uint32(sim.ids))
		if accept(id.Partition()) {
			return id
		}
	}
}

func (sim *simulation) logf(format string, args ...any) {
	if sim.trace != nil {
		fmt.Fprintf(sim.trace, "%9s %5d  %s\n", sim.now.Sub(simulationStart), sim.steps, fmt.Sprintf(format, args...))
	}
}
