// Package keeper runs the agent beside an upstream that is controlled by starts, stops
// and a lease: it dials every entry, polls the upstream for its runs, and drives the
// runner on the control thread.
//
// The package makes no decisions of its own. A [Driver] calls the upstream. No call
// blocks the control thread: calls are made on other goroutines, which post the
// outcome to it.
package keeper

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"golang.org/x/sync/semaphore"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/controller"
	"sardinelock.dev/sardinelock/internal/evacuator"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/linker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/runner"
	"sardinelock.dev/sardinelock/internal/timer"
)

const (
	// tickInterval is the interval at which sessions and leases are checked. It is a
	// fraction of the time after which the tasks of a silent entry are stopped.
	tickInterval = 20 * time.Millisecond
	dialInterval = 100 * time.Millisecond
	// pollWait is how long the upstream waits for the end of a run before it answers a
	// poll. The progress of runs is learned at this interval.
	pollWait = 60 * time.Millisecond
	// callTimeout bounds a call, not counting the time that the upstream is asked to
	// wait. The upstream is local and answers within a millisecond. A lost call is sent
	// again; calls are idempotent.
	callTimeout = 50 * time.Millisecond
	// maxStartCalls and maxStopCalls bound the calls of a kind at the same time. Further ones wait,
	// which does not count for callTimeout. Polls do not wait.
	maxStartCalls = 18
	maxStopCalls  = 4
	maxPollCalls  = 2
	// maxStartAttempts is how often a start is sent without an answer before the task is
	// stopped.
	maxStartAttempts = 4
	// A lost poll is repeated without delay, but after maxImmediateRetries lost polls in a
	// row, and after each poll that was refused, the next one follows pollRetryDelay
	// later. Otherwise an upstream whose connections break at once would be polled in a
	// busy loop.
	pollRetryDelay      = 50 * time.Millisecond
	maxImmediateRetries = 2
	// discoverInterval is how long no entry may be connected before the addresses of
	// entries are looked up, and the shortest time between two look-ups.
	discoverInterval = time.Second
	// drainPollInterval is the interval at which a draining agent checks whether tasks
	// remain.
	drainPollInterval = 20 * time.Millisecond
	// loadLogInterval is the interval of the log line with the load.
	loadLogInterval = 2 * time.Second
	// finalFlushDelay is how long a drained agent keeps its connections open, so that the
	// last frames can be sent.
	finalFlushDelay = 50 * time.Millisecond
)

// MaxCalls is the largest number of calls to the upstream at the same time. A driver must not make a call
// wait for another one.
const MaxCalls = maxStartCalls + maxStopCalls + maxPollCalls

// Driver calls the upstream. Its functions may be called on any goroutine.
//
// A lease is passed as a function that returns how much of it is left at that time. The
// process may be paused at any point, so a driver reads the upstream's clock first: a pause
// between the two then shortens the lease that it asks for.
type Driver struct {
	// Start starts a task with the given lease.
	Start func(ctx context.Context, c runner.StartCall, lease func() time.Duration) runner.Answer
	// Stop stops a task and reports whether the upstream acknowledged it.
	Stop func(ctx context.Context, c runner.StopCall) bool
	// Poll acknowledges runs that ended and extends the lease to the given one unless that
	// is nil. It returns the upstream's runs as soon as one has ended, and after the wait
	// otherwise.
	Poll func(ctx context.Context, q runner.PollRequest, lease func() time.Duration, wait time.Duration) (runner.Listing, PollStatus)
}

// PollStatus says whether a poll was answered, and if not, why.
type PollStatus string

// The values of PollStatus.
const (
	PollAnswered PollStatus = ""        // The poll was answered.
	PollLost     PollStatus = "lost"    // No answer arrived; the upstream may have carried out the poll.
	PollRefused  PollStatus = "refused" // The connection was refused, so the poll has not arrived.
)

// Settings are the settings of a keeper.
type Settings struct {
	Instance   string // Instance names the machine; a restart does not change it.
	Region     string
	DataCentre string
	Entries    []netip.AddrPort // Entries are the peer addresses of some entries.
	Limits     runner.Limits
	Driver     Driver
	// Discover looks up the addresses of entries; it is used while none is connected.
	Discover     func(ctx context.Context) []netip.AddrPort
	DrainTimeout time.Duration
	// HasEvacuations is whether data centres may be evacuated in this deployment. The agent then starts
	// nothing before an entry has told it which are.
	HasEvacuations bool
	Journal        *journaler.Journaler
}

// Keeper is a running agent.
type Keeper struct {
	settings Settings
	peer     messenger.Peer
	loop     *controller.Loop
	timers   *timer.Service
	links    *linker.Linker
	counts   connector.Counts
	meter    *meter.Meter
	// starts and stops have the calls that may be made at the same time.
	starts, stops *semaphore.Weighted

	// The fields below belong to the control thread.
	runner            *runner.Runner
	conns             map[messenger.Peer]*connector.Conn
	relays            []arrivedRelay // relays are those to pass on at the next flush.
	disconnectedSince time.Time      // disconnectedSince is when an entry was last connected or a look-up last began.
	discovering       bool
	// evacuator is nil if the deployment has no evacuations. recipients are the connections on which the
	// agent tells of them.
	evacuator  *evacuator.Evacuator
	recipients evacuator.Recipients[*connector.Conn]

	background context.Context
	stop       context.CancelFunc
}

// New returns a keeper that does not serve yet.
func New(s Settings) (*Keeper, error) {
	k := &Keeper{
		settings: s,
		peer:     messenger.Peer("agent-" + s.Instance + "-" + uuid.NewString()),
		timers:   timer.New(),
		starts:   semaphore.NewWeighted(maxStartCalls),
		stops:    semaphore.NewWeighted(maxStopCalls),
		runner:   runner.New(0, s.Limits),
		conns:    make(map[messenger.Peer]*connector.Conn),
	}
	if s.HasEvacuations {
		// An agent is not told by the platform, and acts only on what an entry has sent recently: after a
		// pause it accepts no earlier launch.
		k.evacuator = evacuator.New(evacuator.Limits{})
		k.runner.AwaitEvacuations()
	}
	k.background, k.stop = context.WithCancel(context.Background())
	k.loop = controller.NewOnClock(timer.NewBootTimeClock(), k.flush)
	options := connector.Options{Hello: k.hello, Counts: &k.counts}
	k.links = linker.New(k.background, k.loop, options, linker.Hooks{
		Up: k.addConn, Receive: k.receive, Down: k.removeConn, DialFailed: k.dialFailed,
	})
	k.links.Add(true, s.Entries...)
	identity := meter.Identity{Role: string(messenger.RoleAgent), Peer: string(k.peer), Region: s.Region, DataCentre: s.DataCentre}
	var err error
	k.meter, err = meter.New(identity, meter.Sources{Traffic: &k.counts, Busy: k.loop.Busy, Agent: k.agentState})
	return k, err
}

// Meter returns the metrics of the process.
func (k *Keeper) Meter() *meter.Meter { return k.meter }

// agentState returns the state of the agent for its metrics.
func (k *Keeper) agentState() (s meter.AgentState) {
	k.loop.Call(func(now time.Time) {
		s.Running, s.Waiting, _ = k.runner.Counts()
		s.State = messenger.UpstreamState(k.runner.State(k.loop.Elapsed(now)))
		s.UpstreamCrashes = k.runner.Crashes()
		s.Entries = len(k.conns)
		s.Evacuations = meter.StateOfEvacuations(k.evacuator, k.loop.Elapsed(now))
	})
	return s
}

func (k *Keeper) hello() messenger.Hello {
	return messenger.Hello{
		Version:    messenger.ProtocolVersion,
		Peer:       k.peer,
		Role:       messenger.RoleAgent,
		Region:     k.settings.Region,
		DataCentre: k.settings.DataCentre,
		Instance:   k.settings.Instance,
	}
}

// Run serves until the context ends. It then waits for the running tasks, at most for the
// drain timeout, and returns.
func (k *Keeper) Run(ctx context.Context) error {
	var g run.Group
	loopCtx, stopLoop := context.WithCancel(context.Background())
	g.Add(func() error { return k.loop.Run(loopCtx) }, func(error) { stopLoop() })
	pollCtx, stopPolling := context.WithCancel(context.Background())
	g.Add(func() error { k.pollUpstream(pollCtx); return nil }, func(error) { stopPolling() })
	end, cancel := context.WithCancel(ctx)
	g.Add(func() error { <-end.Done(); k.drain(); return nil }, func(error) { cancel() })
	k.timers.Subscribe(tickInterval, func(time.Time) { k.loop.Post(func(time.Time) {}) })
	k.timers.Subscribe(dialInterval, func(time.Time) { k.loop.Post(k.dial) })
	k.timers.Subscribe(loadLogInterval, func(time.Time) { k.loop.Post(k.logLoad) })
	err := g.Run()
	k.stop()
	k.timers.Stop()
	return err
}

// dial connects to entries. While tasks of closed sessions or runs of an earlier process may
// be left, it does nothing.
func (k *Keeper) dial(now time.Time) {
	if !k.runner.MayConnect(k.loop.Elapsed(now)) {
		return
	}
	k.links.DialDue(now)
	if len(k.conns) > 0 {
		k.disconnectedSince = now
	}
	if k.settings.Discover == nil || k.discovering || now.Sub(k.disconnectedSince) < discoverInterval {
		return
	}
	k.discovering, k.disconnectedSince = true, now
	go func() {
		addrs := k.settings.Discover(k.background)
		k.loop.Post(func(time.Time) {
			k.discovering = false
			k.links.Add(false, addrs...)
		})
	}()
}

// pollUpstream polls the upstream until the context ends.
func (k *Keeper) pollUpstream(ctx context.Context) {
	failures := 0 // failures counts the failed polls since the last answered one.
	for ctx.Err() == nil {
		var q runner.PollRequest
		var sentAt time.Duration
		k.loop.Call(func(now time.Time) {
			sentAt = k.loop.Elapsed(now)
			q = k.runner.NextPoll(sentAt)
		})
		var lease func() time.Duration
		if q.LeaseUntil > 0 {
			lease = k.remaining(q.LeaseUntil)
		}
		wait := pollWait
		if q.AtOnce {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
		l, status := k.settings.Driver.Poll(callCtx, q, lease, wait)
		cancel()
		l.RequestedAt = sentAt
		k.loop.Call(func(now time.Time) {
			if status == PollAnswered {
				k.runner.Listed(k.loop.Elapsed(now), l)
				return
			}
			k.runner.PollFailed(k.loop.Elapsed(now), status == PollRefused)
		})
		if status == PollAnswered {
			failures = 0
			continue
		}
		if failures++; status == PollRefused || failures > maxImmediateRetries {
			timer.Sleep(ctx, pollRetryDelay)
		}
	}
}

// Announce applies an announcement of the upstream and reports whether it was accepted.
func (k *Keeper) Announce(u runner.Announcement) (accepted bool) {
	k.loop.Call(func(now time.Time) { accepted = k.runner.Announce(k.loop.Elapsed(now), u) })
	return accepted
}

// Leave is called when the upstream of the given id has announced that it leaves.
func (k *Keeper) Leave(id string) {
	k.loop.Call(func(now time.Time) { k.runner.Leave(k.loop.Elapsed(now), id) })
}

// drain returns the waiting tasks to their entries and waits for the running ones, at most
// for the drain timeout.
func (k *Keeper) drain() {
	k.settings.Journal.Line("draining").Msg("")
	k.loop.Call(func(now time.Time) { k.runner.StopAdmitting(k.loop.Elapsed(now)) })
	deadline := time.Now().Add(k.settings.DrainTimeout)
	idle := false
	for !idle && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
		k.loop.Call(func(time.Time) { idle = k.runner.Idle() })
	}
	time.Sleep(finalFlushDelay)
}

// flush carries out the runner's decisions. It must be called on the control thread.
func (k *Keeper) flush(now time.Time) {
	out := k.runner.Take(k.loop.Elapsed(now))
	for _, c := range out.Starts {
		go k.startTask(c)
	}
	for _, c := range out.Stops {
		go k.stopTask(c)
	}
	k.tellEvacuations(now)
	for _, s := range out.Sends {
		if conn := k.conns[s.To]; conn != nil {
			conn.Send(s.Frame)
		}
	}
	for _, peer := range out.Closes {
		if conn := k.conns[peer]; conn != nil {
			delete(k.conns, peer)
			conn.Close()
		}
	}
	k.passOnRelays()
	for _, d := range out.Decisions {
		k.logDecision(d)
	}
}

func (k *Keeper) startTask(c runner.StartCall) {
	a := runner.AnswerNone
	attempts := 0
	for ; attempts < maxStartAttempts && a == runner.AnswerNone; attempts++ {
		if attempts == 1 {
			k.loop.Post(func(now time.Time) { k.runner.Repeated(k.loop.Elapsed(now), c) })
		}
		k.call(k.starts, func(ctx context.Context) { a = k.settings.Driver.Start(ctx, c, k.remaining(c.LeaseUntil)) })
	}
	k.loop.Post(func(now time.Time) { k.runner.Started(k.loop.Elapsed(now), c, a, attempts > 1) })
}

// call makes a call once fewer than the largest number of its kind are being made. It makes none after
// the end of the keeper.
func (k *Keeper) call(kind *semaphore.Weighted, f func(context.Context)) {
	if kind.Acquire(k.background, 1) != nil {
		return
	}
	defer kind.Release(1)
	ctx, cancel := context.WithTimeout(k.background, callTimeout)
	defer cancel()
	f(ctx)
}

// remaining returns a function that returns the time left until the given time on the
// control thread's clock.
func (k *Keeper) remaining(until time.Duration) func() time.Duration {
	return func() time.Duration { return until - k.loop.Elapsed(k.loop.Now()) }
}

func (k *Keeper) stopTask(c runner.StopCall) {
	acknowledged := false
	k.call(k.stops, func(ctx context.Context) { acknowledged = k.settings.Driver.Stop(ctx, c) })
	k.loop.Post(func(now time.Time) { k.runner.Stopped(k.loop.Elapsed(now), c, acknowledged) })
}

func (k *Keeper) logLoad(now time.Time) {
	running, waiting, used := k.runner.Counts()
	k.settings.Journal.Line("load").Int("running", running).Int("waiting", waiting).
		Int64("used-milli-cpu", used.MilliCPU).Str("state", string(k.runner.State(k.loop.Elapsed(now)))).
		Int("entries", len(k.conns)).Uint64("lines-left-out", k.settings.Journal.Omitted()).Msg("")
}

func (k *Keeper) logDecision(d runner.Decision) {
	e := k.settings.Journal.Line(d.Event)
	if d.Task.Job != "" {
		e = e.Str("job", d.Task.Job).Int("step", d.Task.Step).Int("task", d.Task.Index).Uint64("run", d.Run)
	}
	e.Str("reason", d.Reason).Dur("age", d.Age).Msg("")
}

// addConn registers a connection and reports whether it was accepted. It must be called
// on the control thread.
func (k *Keeper) addConn(now time.Time, c *connector.Conn) bool {
	h := c.Hello()
	if h.Role != messenger.RoleEntry || !k.runner.MayConnect(k.loop.Elapsed(now)) {
		return false
	}
	if old := k.conns[h.Peer]; old != nil {
		return false
	}
	k.conns[h.Peer] = c
	k.recipients.Add(c)
	k.runner.EntryUp(k.loop.Elapsed(now), h.Peer)
	k.settings.Journal.Line("entry-connected").Str("peer", string(h.Peer)).Msg("")
	return true
}

func (k *Keeper) dialFailed(addr netip.AddrPort, err error) {
	k.settings.Journal.Line("entry-not-reached").Str("address", addr.String()).Err(err).Msg("")
}

func (k *Keeper) receive(now time.Time, c *connector.Conn, f *messenger.Frame) {
	peer := c.Hello().Peer
	if k.conns[peer] != c {
		return
	}
	if f.Routes != nil {
		connected, others := f.Routes.Addresses()
		k.links.Reachable(now, connected...)
		k.links.Add(false, others...)
	}
	k.receiveEvacuations(now, c, f.Evacuations)
	k.runner.Receive(k.loop.Elapsed(now), peer, f)
	k.receiveRelays(peer, f.Relays)
}

func (k *Keeper) removeConn(now time.Time, c *connector.Conn, cause error) {
	peer := c.Hello().Peer
	k.recipients.Remove(c)
	if k.conns[peer] != c {
		return
	}
	delete(k.conns, peer)
	k.runner.EntryDown(k.loop.Elapsed(now), peer)
	k.settings.Journal.Line("entry-disconnected").Str("peer", string(peer)).Err(cause).Msg("")
}
