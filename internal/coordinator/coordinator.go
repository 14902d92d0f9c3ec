// Package coordinator is the whole decision of an entry, without its I/O.
//
// It joins three controllers: the leaser says which partitions this entry owns,
// the owner keeps the jobs of those partitions, and the placer says which task
// goes where. Events come in with a time: requests, frames from peers, outcomes
// of calls of the platform, and ticks. What is to be done is collected until
// [Coordinator.Take]. The control thread of an entry drives it in production; in
// tests a scheduler with virtual time does.
package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/leaser"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Limits are the settings of a coordinator.
type Limits struct {
	Owner  owner.Limits
	Placer placer.Limits
	Leaser leaser.Limits
	// StartBudget is how long a start may be under way to its upstream.
	StartBudget time.Duration
}

// Send is a frame for one peer.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// TicketAnswer is the answer to a request of this entry.
type TicketAnswer struct {
	Ticket uint64
	Answer *messenger.Answer
}

// Output is what the entry has to do.
type Output struct {
	Sends   []Send
	Answers []TicketAnswer
	Reads   []leaser.Read
	Writes  []leaser.Write
}

// Coordinator is the control state of one entry.
type Coordinator struct {
	self   messenger.Peer
	limits Limits

	leaser *leaser.Leaser
	owner  *owner.Owner
	placer *placer.Placer

	agents   map[messenger.Peer]*agentLink
	entries  map[messenger.Peer]*entryLink
	forwards map[uint64]*forward // forwards has the requests that another entry owns.
	paths    map[string]string   // paths has the HTTP path of each service at its upstreams.
	out      Output
}

// agentLink is what the coordinator keeps for a connected agent.
type agentLink struct {
	frame   *messenger.Frame // frame gathers what goes out at the next Take.
	ping    uint64
	clock   time.Duration // clock is the agent's clock in its latest message.
	clockAt time.Time     // clockAt is when that message arrived.
}

// entryLink is what the coordinator keeps for a connected entry.
type entryLink struct {
	frame *messenger.Frame
}

// New returns a coordinator that owns nothing.
func New(self leaser.Self, limits Limits) *Coordinator {
	return &Coordinator{
		self:     self.Peer,
		limits:   limits,
		leaser:   leaser.New(self, limits.Leaser),
		owner:    owner.New(limits.Owner),
		placer:   placer.New(limits.Placer),
		agents:   make(map[messenger.Peer]*agentLink),
		entries:  make(map[messenger.Peer]*entryLink),
		forwards: make(map[uint64]*forward),
		paths:    make(map[string]string),
	}
}

// SetPath sets the HTTP path of a service at its upstreams.
func (c *Coordinator) SetPath(service, path string) { c.paths[service] = path }

// Owns reports whether this entry owns the partition.
func (c *Coordinator) Owns(p identifier.Partition) bool { return c.leaser.Owns(p) }

// Owned returns the partitions that this entry owns.
func (c *Coordinator) Owned() []messenger.PartitionEpoch { return c.leaser.Owned() }

// Entries returns the entries that are known, this one included.
func (c *Coordinator) Entries() []messenger.EntryAddr { return c.leaser.Entries() }

// PeerUp adds a connection.
func (c *Coordinator) PeerUp(now time.Time, h messenger.Hello) {
	if h.Role == messenger.RoleEntry {
		c.entries[h.Peer] = &entryLink{}
		c.resend(now, h.Peer)
		return
	}
	c.agents[h.Peer] = &agentLink{}
	c.owner.AgentUp(h.Peer)
	c.placer.AgentUp(now, h.Peer, placer.Place{Region: h.Region, DataCentre: h.DataCentre, Rack: h.Rack})
	c.fence(h.Peer, c.leaser.Owned())
	c.agentFrame(h.Peer).Admit = &messenger.Admit{}
	c.agentFrame(h.Peer).Routes = &messenger.Routes{Entries: c.leaser.Entries()}
}

// PeerDown removes a connection.
func (c *Coordinator) PeerDown(now time.Time, peer messenger.Peer) {
	if _, ok := c.agents[peer]; ok {
		delete(c.agents, peer)
		c.owner.AgentDown(now, peer)
		c.placer.AgentDown(now, peer)
	}
	delete(c.entries, peer)
}

// Receive applies a frame from a peer.
func (c *Coordinator) Receive(now time.Time, from messenger.Peer, f *messenger.Frame) {
	if a := c.agents[from]; a != nil {
		c.receiveAgent(now, from, a, f)
		return
	}
	if c.entries[from] != nil {
		c.receiveEntry(now, from, f)
	}
}

// Submit applies a request of a caller.
func (c *Coordinator) Submit(now time.Time, ticket uint64, j owner.Job) {
	if c.leaser.Owns(j.Submission.Partition()) {
		c.submitLocal(now, owner.Waiter{Ticket: ticket}, j)
		return
	}
	c.forward(now, ticket, j)
}

// Cancel ends a job of this entry. It returns false if the team has no such job.
func (c *Coordinator) Cancel(now time.Time, s identifier.Submission, team string) bool {
	return c.owner.Cancel(now, s, team)
}

// StoreRead applies the outcome of a read.
func (c *Coordinator) StoreRead(now time.Time, id uint64, r storer.Range, err error) {
	c.leaser.StoreRead(now, id, r, err)
}

// StoreWritten applies the outcome of a write.
func (c *Coordinator) StoreWritten(now time.Time, id uint64, o storer.Outcome, err error) {
	c.leaser.StoreWritten(now, id, o, err)
}

// Tick applies the passing of time.
func (c *Coordinator) Tick(now time.Time) {
	c.leaser.Tick(now)
	c.owner.Tick(now)
	c.expireForwards(now)
}

// Take runs the controllers on what has happened, returns what is to be done and
// clears it.
func (c *Coordinator) Take(now time.Time) Output {
	c.applyLeaser()
	c.applyOwner(now)
	c.dispatch(now)
	c.applyOwner(now)
	c.flushLinks()
	out := c.out
	c.out = Output{}
	return out
}

func (c *Coordinator) receiveAgent(now time.Time, from messenger.Peer, a *agentLink, f *messenger.Frame) {
	if f.Contact != nil {
		a.clock = f.Contact.Clock
		a.clockAt = now
	}
	if f.Capacity != nil {
		c.placer.SetCapacity(now, from, *f.Capacity)
	}
	if f.Credit != nil {
		c.placer.SetCredit(now, from, f.Credit.Limit)
	}
	c.receiveFenced(now, from, f.Fenced)
	for i := range f.Results {
		c.result(now, from, &f.Results[i])
	}
}

func (c *Coordinator) result(now time.Time, from messenger.Peer, r *messenger.Result) {
	for _, t := range r.Tasks {
		c.placer.Ended(now, placer.End{
			Agent:           from,
			Submission:      r.Submission,
			Index:           t.Index,
			Kind:            t.Kind,
			Refusal:         t.Refusal,
			RunTime:         t.RunTime,
			PeakMemoryBytes: t.PeakMemoryBytes,
		})
	}
	c.owner.Result(now, from, r)
}

// submitLocal applies a request for a partition that this entry owns.
func (c *Coordinator) submitLocal(now time.Time, w owner.Waiter, j owner.Job) {
	tasks := c.owner.Submit(now, w, j)
	if len(tasks) == 0 {
		return
	}
	refusal := c.placer.Enqueue(now, placerJob(&j, tasks))
	if refusal.Reason != "" {
		c.owner.Refuse(now, j.Submission, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
}

func (c *Coordinator) applyLeaser() {
	out := c.leaser.Take()
	c.out.Reads = append(c.out.Reads, out.Reads...)
	c.out.Writes = append(c.out.Writes, out.Writes...)
	if len(out.Gained) == 0 {
		return
	}
	for agent := range c.agents {
		c.fence(agent, out.Gained)
	}
}

func (c *Coordinator) applyOwner(now time.Time) {
	out := c.owner.Take()
	for _, a := range out.Answers {
		c.deliver(a.Waiter, a.Answer)
	}
	for _, r := range out.Requeues {
		if j, ok := c.owner.Job(r.Submission); ok {
			c.placer.Requeue(now, placerJob(&j, nil), r.Index)
		}
	}
	for _, s := range out.Drops {
		c.placer.Drop(s)
	}
	for _, x := range out.Cancels {
		if c.agents[x.Agent] != nil {
			_, epoch := c.leaser.Owner(x.Submission.Partition())
			f := c.agentFrame(x.Agent)
			f.Cancels = append(f.Cancels, messenger.Cancel{Submission: x.Submission, Epoch: epoch})
		}
	}
	for _, x := range out.Settles {
		if c.agents[x.Agent] != nil {
			c.settle(x)
		}
	}
}

// settle lets a settlement ride on the next frame to the agent.
func (c *Coordinator) settle(x owner.AgentJob) {
	f := c.agentFrame(x.Agent)
	f.Settled = append(f.Settled, messenger.Settlement{Submission: x.Submission})
}

func (c *Coordinator) dispatch(now time.Time) {
	for _, a := range c.placer.Dispatch(now) {
		j, ok := c.owner.Job(a.Submission)
		if !ok {
			continue
		}
		a.Tasks = c.owner.Sent(now, a.Submission, a.Agent, a.Tasks)
		if len(a.Tasks) == 0 {
			continue
		}
		f := c.agentFrame(a.Agent)
		f.Starts = append(f.Starts, c.start(now, &j, a))
	}
}

func (c *Coordinator) start(now time.Time, j *owner.Job, a placer.Assignment) messenger.Start {
	_, epoch := c.leaser.Owner(j.Submission.Partition())
	link := c.agents[a.Agent]
	clock := link.clock + now.Sub(link.clockAt)
	s := messenger.Start{
		Submission: j.Submission,
		Epoch:      epoch,
		Service:    j.Service,
		Path:       c.paths[j.Service],
		StartBy:    clock + c.limits.StartBudget,
		EndBy:      clock + j.Deadline.Sub(now),
		Tasks:      make([]messenger.TaskStart, len(a.Tasks)),
		RequestKey: j.RequestKey,
		Digest:     owner.Digest(j),
	}
	for i, index := range a.Tasks {
		spec := &j.Tasks[index]
		s.Tasks[i] = messenger.TaskStart{
			Index:        index,
			Payload:      spec.Payload,
			MemoryBytes:  spec.MemoryBytes,
			Accelerators: spec.Accelerators,
		}
	}
	return s
}

func (c *Coordinator) deliver(w owner.Waiter, a *messenger.Answer) {
	if w.Peer == "" {
		c.out.Answers = append(c.out.Answers, TicketAnswer{Ticket: w.Ticket, Answer: a})
		return
	}
	if c.entries[w.Peer] == nil {
		return
	}
	own := *a
	own.Ticket = w.Ticket
	f := c.entryFrame(w.Peer)
	f.Answers = append(f.Answers, own)
}

func (c *Coordinator) fence(agent messenger.Peer, partitions []messenger.PartitionEpoch) {
	if len(partitions) > 0 {
		c.agentFrame(agent).Fence = &messenger.Fence{Partitions: partitions}
	}
}

// agentFrame returns the frame that gathers what goes to a connected agent.
func (c *Coordinator) agentFrame(peer messenger.Peer) *messenger.Frame {
	a := c.agents[peer]
	if a.frame == nil {
		a.frame = &messenger.Frame{}
	}
	return a.frame
}

// entryFrame returns the frame that gathers what goes to a connected entry.
func (c *Coordinator) entryFrame(peer messenger.Peer) *messenger.Frame {
	e := c.entries[peer]
	if e.frame == nil {
		e.frame = &messenger.Frame{}
	}
	return e.frame
}

func (c *Coordinator) flushLinks() {
	for peer, a := range c.agents {
		if a.frame == nil {
			continue
		}
		a.ping++
		a.frame.Contact = &messenger.Contact{Ping: a.ping}
		c.out.Sends = append(c.out.Sends, Send{To: peer, Frame: a.frame})
		a.frame = nil
	}
	for peer, e := range c.entries {
		if e.frame != nil {
			c.out.Sends = append(c.out.Sends, Send{To: peer, Frame: e.frame})
			e.frame = nil
		}
	}
}

func placerJob(j *owner.Job, tasks []uint16) placer.Job {
	out := placer.Job{
		Submission: j.Submission,
		Service:    j.Service,
		Team:       j.Team,
		Deadline:   j.Deadline,
		Needs:      make([]placer.Need, len(j.Tasks)),
		Tasks:      tasks,
	}
	for i, t := range j.Tasks {
		out.Needs[i] = placer.Need{RunTime: t.RunTime, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators}
	}
	return out
}

// unknown returns an answer that claims nothing.
func unknown(s identifier.Submission, reason submitter.Reason, detail string) *messenger.Answer {
	return &messenger.Answer{
		Submission: s,
		Outcome:    string(submitter.OutcomeUnknown),
		Reason:     string(reason),
		Detail:     detail,
	}
}

// Serving reports whether every partition has an owner that can be reached and
// at least the given number of agents serve.
func (c *Coordinator) Serving(agents int) bool {
	for p := range identifier.Partitions {
		to, _ := c.leaser.Owner(identifier.Partition(p))
		if to != c.self && c.entries[to] == nil {
			return false
		}
	}
	return c.placer.Serving() >= agents
}
