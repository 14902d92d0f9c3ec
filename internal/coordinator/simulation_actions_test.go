package coordinator_test

import (
	"fmt"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
)

// run runs a history of the given number of steps, then ends all faults and checks that
// every request is answered.
func (sim *simulation) run(steps int) {
	sim.runUntil(time.Second, sim.serving)
	for range steps {
		if sim.oracle.violation != "" {
			return
		}
		sim.step()
	}
	sim.heal()
	sim.oracle.checkEnd()
}

// serving reports whether every entry can start tasks at every agent.
func (sim *simulation) serving() bool {
	for _, p := range sim.entries {
		if !p.entry.Serving(p.now(sim), sim.agentsIn(p.region)) {
			return false
		}
	}
	return true
}

// step performs one randomly chosen action.
func (sim *simulation) step() {
	sim.steps++
	if sim.pick(100) < sim.options.faultPercent {
		sim.fault()
		return
	}
	switch n := sim.pick(100); {
	case n < 45:
		sim.deliverSome(1 + sim.pick(sim.options.maxEventsPerStep))
	case n < 60:
		sim.elapse(time.Duration(1+sim.pick(40)) * time.Millisecond)
	case n < 63:
		sim.elapse(time.Duration(100+sim.pick(900)) * time.Millisecond)
	case n < 72:
		sim.runSomeCalls(1 + sim.pick(sim.options.maxEventsPerStep))
	case n < 82:
		sim.endSomeTask()
	case n < 90:
		sim.submitNew()
	case n < 95:
		sim.resubmit()
	case n < 96:
		sim.abandonSome()
	default:
		sim.connectSome()
	}
}

// fault injects a fault or ends one.
func (sim *simulation) fault() {
	if sim.extraFault() {
		return
	}
	switch n := sim.pick(100); {
	case n < 25:
		sim.breakSome()
	case n < 45:
		sim.pauseSome()
	case n < 60:
		sim.resumeSome()
	case n < 70:
		sim.killSome()
	case n < 75:
		sim.platformDown = !sim.platformDown
		sim.logf("the platform is down: %t", sim.platformDown)
	case n < 88:
		if len(sim.calls) > 0 {
			sim.runCall(sim.pick(len(sim.calls)), 1+sim.pick(3))
		}
	case n < 94:
		sim.drainSome()
	default:
		sim.toggleLeavingSome()
	}
}

func (sim *simulation) processes() []*process {
	return append(append([]*process{}, sim.entries...), sim.agents...)
}

func (sim *simulation) anyOf(ps []*process, ok func(*process) bool) *process {
	var fit []*process
	for _, p := range ps {
		if ok(p) {
			fit = append(fit, p)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[sim.pick(len(fit))]
}

func (sim *simulation) deliverSome(n int) {
	for range n {
		ends := sim.deliverable()
		if len(ends) == 0 {
			return
		}
		sim.deliver(ends[sim.pick(len(ends))])
	}
}

// elapse advances the time. Most active processes get a tick at once; the others get it
// later.
func (sim *simulation) elapse(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, p := range sim.processes() {
		if p.active() && sim.pick(8) > 0 {
			sim.tick(p)
		}
	}
}

func (sim *simulation) runSomeCalls(n int) {
	for range n {
		if len(sim.calls) == 0 {
			return
		}
		sim.runCall(sim.pick(len(sim.calls)), 0)
	}
}

// endSomeTask ends a call of an upstream, rarely with an error.
func (sim *simulation) endSomeTask() {
	p := sim.anyOf(sim.agents, func(p *process) bool { return p.active() && len(p.running) > 0 })
	if p == nil {
		return
	}
	kind := messenger.ResultDone
	if sim.pick(20) == 0 {
		kind = messenger.ResultFailed
	}
	ref := p.running[sim.pick(len(p.running))].Ref
	sim.logf("%s ends %s/%d %s", p.peer, sim.oracle.name(ref.Submission), ref.Index, kind)
	sim.endTask(p, ref, kind)
	sim.flush(p)
}

// submitNew submits a new submission, sometimes with a request key that others share.
func (sim *simulation) submitNew() {
	skew := [...]time.Duration{0, 0, 0, 0, 90 * time.Millisecond, -500 * time.Millisecond, -9900 * time.Millisecond, time.Minute}[sim.pick(8)]
	s := &submission{
		timeout: [...]time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}[sim.pick(4)],
	}
	p := sim.anyEntry()
	if p == nil {
		return
	}
	accept := func(identifier.Partition) bool { return true }
	switch sim.pick(8) {
	case 0:
		s.idFromEntry = true
		skew = p.clockOffset
		accept = sim.ownedBy(p)
	case 1, 2:
		s.key = fmt.Sprintf("key%d", sim.pick(2))
		accept = func(p identifier.Partition) bool { return p == identifier.KeyPartition(s.key) }
	}
	s.id = sim.newID(sim.now.Add(skew), accept)
	for i := range 1 + sim.pick(4) {
		s.payloads = append(s.payloads, []byte(fmt.Sprintf("%d/%d", sim.ids, i)))
	}
	sim.oracle.addSubmission(s)
	sim.submitTo(p, s, coordinator.RequestSubmit)
}

// ownedBy returns a filter for the partitions whose requests an entry accepts, or for
// all partitions if it accepts none.
func (sim *simulation) ownedBy(p *process) func(identifier.Partition) bool {
	for x := range identifier.Partition(identifier.Partitions) {
		if p.entry.Owns(x) {
			return p.entry.Owns
		}
	}
	return func(identifier.Partition) bool { return true }
}

// resubmit submits a known submission again, rarely with another body, or attaches to
// it, or cancels it.
func (sim *simulation) resubmit() {
	s := sim.anySubmission()
	if s == nil {
		return
	}
	kind := coordinator.RequestSubmit
	switch sim.pick(20) {
	case 0:
		other := *s
		other.payloads = append([][]byte{otherBody}, s.payloads[1:]...)
		s = &other
	case 1:
		kind = coordinator.RequestAttach
	case 2:
		kind = coordinator.RequestCancel
	}
	sim.submitTo(sim.anyEntry(), s, kind)
}

// anySubmission returns a submission whose id its caller knows.
func (sim *simulation) anySubmission() *submission {
	var known []*submission
	for _, s := range sim.oracle.submissions {
		if !s.idFromEntry {
			known = append(known, s)
		}
	}
	if len(known) == 0 {
		return nil
	}
	// Prefer recent submissions: most rule violations can occur with them.
	n := len(known)
	return known[max(sim.pick(n), sim.pick(n))]
}

// abandonSome disconnects the caller of a request.
func (sim *simulation) abandonSome() {
	var waiting []uint64
	for ticket, r := range sim.oracle.requests {
		if r.answer == "" && r.entry.active() {
			waiting = append(waiting, uint64(ticket))
		}
	}
	if len(waiting) == 0 {
		return
	}
	ticket := waiting[sim.pick(len(waiting))]
	r := sim.oracle.requests[ticket]
	sim.logf("the caller of request %d disconnects", ticket)
	r.abandoned = true
	r.entry.entry.Abandon(r.entry.now(sim), ticket)
	sim.flush(r.entry)
}

func (sim *simulation) anyEntry() *process {
	return sim.anyOf(sim.entries, func(p *process) bool { return p.active() && !p.leaving })
}

func (sim *simulation) submitTo(p *process, s *submission, kind coordinator.RequestKind) {
	if p == nil {
		return
	}
	r := &request{submission: s, kind: kind, entry: p, deadline: p.now(sim).Add(s.timeout)}
	ticket := sim.oracle.addRequest(r)
	sim.logf("%s gets request %d to %s %s (partition %d, age %s): %d tasks, key %q, timeout %s", p.peer, ticket, kind, s.name,
		s.id.Partition(), sim.now.Sub(s.id.Time()), len(s.payloads), s.key, s.timeout)
	j := owner.Job{
		Submission: s.id,
		Service:    testService,
		Team:       "team",
		RequestKey: s.key,
		Deadline:   r.deadline,
	}
	if kind == coordinator.RequestSubmit {
		for _, payload := range s.payloads {
			j.Tasks = append(j.Tasks, messenger.TaskSpec{Payload: payload, RunTime: 5 * time.Millisecond})
		}
	}
	p.entry.Request(p.now(sim), ticket, coordinator.Request{Kind: kind, Job: j, NewID: s.idFromEntry})
	sim.flush(p)
}

// connectSome connects one pair of processes that are not connected.
func (sim *simulation) connectSome() {
	var pairs [][2]*process
	for i, e := range sim.entries {
		for _, other := range sim.entries[i+1:] {
			pairs = sim.appendPair(pairs, e, other)
		}
		for _, a := range sim.agents {
			pairs = sim.appendPair(pairs, a, e)
		}
	}
	if len(pairs) > 0 {
		p := pairs[sim.pick(len(pairs))]
		sim.connect(p[0], p[1])
	}
}

func (sim *simulation) appendPair(pairs [][2]*process, a, b *process) [][2]*process {
	if sim.canConnect(a, b) {
		return append(pairs, [2]*process{a, b})
	}
	return pairs
}

// canConnect reports whether two processes are not connected and can be.
func (sim *simulation) canConnect(a, b *process) bool {
	if !a.alive || !b.alive || a.side != b.side || sim.connected(a, b) || !sim.regionsReachable(a, b) {
		return false
	}
	return sim.blocked == nil || !sim.blocked(a, b)
}

func (sim *simulation) breakSome() {
	var whole []*conn
	for _, c := range sim.conns {
		if !c.broken {
			whole = append(whole, c)
		}
	}
	if len(whole) > 0 {
		sim.breakConn(whole[sim.pick(len(whole))])
	}
}

func (sim *simulation) pauseSome() {
	if p := sim.anyOf(sim.processes(), (*process).active); p != nil {
		p.paused = true
		sim.logf("%s pauses", p.peer)
	}
}

func (sim *simulation) resumeSome() {
	p := sim.anyOf(sim.processes(), func(p *process) bool { return p.alive && p.paused })
	if p != nil {
		sim.resume(p)
	}
}

func (sim *simulation) resume(p *process) {
	p.paused = false
	sim.logf("%s resumes", p.peer)
}

// killSome ends a process without notice; a new one takes its index.
func (sim *simulation) killSome() {
	sim.kill(sim.processes()[sim.pick(len(sim.entries)+len(sim.agents))])
}

func (sim *simulation) kill(p *process) {
	sim.logf("%s dies", p.peer)
	p.alive = false
	for _, c := range sim.conns {
		if !c.broken && (c.ends[0] == p || c.ends[1] == p) {
			sim.breakConn(c)
		}
	}
	if p.role == messenger.RoleEntry {
		sim.entries[p.index] = sim.startEntry(p.index)
	} else {
		sim.agents[p.index] = sim.startAgent(p.index)
	}
}

// drainSome starts the shutdown of an entry.
func (sim *simulation) drainSome() {
	p := sim.anyOf(sim.entries, func(p *process) bool { return p.active() && !p.leaving })
	if p == nil {
		return
	}
	p.leaving = true
	sim.logf("%s drains", p.peer)
	p.entry.Drain(p.now(sim))
	sim.flush(p)
}

// leaveIfDrained ends an entry whose drain has finished; a new one takes its index. All
// its callers must have been answered.
func (sim *simulation) leaveIfDrained(p *process) {
	if !p.leaving || !p.entry.Drained(p.now(sim)) {
		return
	}
	sim.logf("%s has shut down", p.peer)
	sim.oracle.checkShutdown(p)
	sim.kill(p)
}

// toggleLeavingSome makes an upstream leave or come back.
func (sim *simulation) toggleLeavingSome() {
	p := sim.anyOf(sim.agents, (*process).active)
	if p == nil {
		return
	}
	p.leaving = !p.leaving
	sim.logf("the upstream of %s leaves: %t", p.peer, p.leaving)
	sim.announce(p)
	sim.flush(p)
}

// heal ends all faults and advances the time until every deadline has passed.
func (sim *simulation) heal() {
	sim.logf("all faults end")
	sim.platformDown = false
	sim.rejoinRegions()
	for _, p := range sim.processes() {
		if p.paused {
			sim.resume(p)
		}
		if p.guard != nil && p.leaving {
			p.leaving = false
			sim.announce(p)
			sim.flush(p)
		}
	}
	sim.runFor(600 * time.Millisecond)
	sim.runUntil(3*time.Second, sim.oracle.allAnswered)
}

// runFor advances the time and processes everything that is in flight.
func (sim *simulation) runFor(d time.Duration) {
	sim.runUntil(d, func() bool { return false })
}

// runUntil is runFor until a condition holds, but at most for the given time.
func (sim *simulation) runUntil(d time.Duration, done func() bool) {
	const quantum = 60 * time.Millisecond
	for end := sim.now.Add(d); sim.now.Before(end) && sim.oracle.violation == "" && !done(); {
		sim.quiesce()
		sim.now = sim.now.Add(quantum)
		for _, p := range sim.processes() {
			if p.active() {
				sim.tick(p)
			}
		}
	}
	sim.quiesce()
}

// quiesce connects all processes and processes everything that takes no time.
func (sim *simulation) quiesce() {
	const bound = 2000
	for range bound {
		if sim.oracle.violation != "" || !sim.quiesceOnce() {
			return
		}
	}
	sim.oracle.fail("the processes exchange messages without end")
}

func (sim *simulation) quiesceOnce() bool {
	for i, e := range sim.entries {
		for _, other := range append(append([]*process{}, sim.entries[i+1:]...), sim.agents...) {
			if sim.canConnect(e, other) {
				sim.connect(e, other)
				return true
			}
		}
	}
	if ends := sim.deliverable(); len(ends) > 0 {
		sim.deliver(ends[0])
		return true
	}
	for i, c := range sim.calls {
		if sim.stallsCall == nil || !sim.stallsCall(c) {
			sim.runCall(i, 0)
			return true
		}
	}
	for _, p := range sim.agents {
		if p.active() && len(p.running) > 0 {
			sim.endTask(p, p.running[0].Ref, messenger.ResultDone)
			sim.flush(p)
			return true
		}
	}
	return false
}
