// Package agent runs the process beside one upstream: it accepts the upstream's
// announcements, dials every entry, and drives the guard on the control thread.
//
// The guard makes the decisions. Each call to the upstream runs on its own goroutine
// and posts its end to the control thread.
package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/controller"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/timer"
)

// Settings are the process settings of an agent.
type Settings struct {
	Peer       messenger.Peer // Peer names this run of the agent.
	Region     string
	DataCentre string
	Rack       string
	// Listen is where the upstream announces itself.
	Listen netip.AddrPort
	// Entries are the peer addresses of some entries; the agent learns the others from
	// them.
	Entries      []netip.AddrPort
	Limits       guard.Limits
	DrainTimeout time.Duration
	// TLS has the certificates of the agent; nil serves and dials without TLS.
	TLS    *certifier.Certifier
	Logger *log.Logger
}

const (
	tickInterval = 50 * time.Millisecond
	dialInterval = 250 * time.Millisecond
	// flushDelay is how long a drained agent keeps its connections open, so that its
	// last frames are sent.
	flushDelay = 250 * time.Millisecond
)

// Agent is a running agent.
type Agent struct {
	settings Settings
	loop     *controller.Loop
	timers   *timer.Service
	counts   connector.Counts
	listener net.Listener
	server   *http.Server
	meter    *meter.Meter
	dialer   *http.Client // dialer dials entries; nil means the default client.

	// The fields below belong to the control thread.
	guard    *guard.Guard
	follower *applier.Follower
	invoker  *invoker.Invoker
	conns    map[messenger.Peer]*connector.Conn
	targets  map[netip.AddrPort]*target
	calls    map[guard.TaskRef]context.CancelFunc
	// draining is set once the agent shuts down: it accepts no new work, whatever the
	// upstream announces.
	draining bool
	wakeTime time.Time // wakeTime is when the latest scheduled flush is due.

	background context.Context // background is cancelled after the drain.
	stop       context.CancelFunc
	ready      chan struct{}
	killed     chan struct{} // killed is closed by Kill.
	killOnce   sync.Once
}

// New returns an agent that listens on its address but does not serve yet.
func New(s Settings) (*Agent, error) {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindListen, Err: err}
	}
	a := &Agent{
		settings: s,
		timers:   timer.New(),
		listener: l,
		guard:    guard.New(time.Now(), s.Limits),
		follower: applier.NewFollower(time.Now(), applier.DefaultLimits()),
		conns:    make(map[messenger.Peer]*connector.Conn),
		targets:  make(map[netip.AddrPort]*target),
		calls:    make(map[guard.TaskRef]context.CancelFunc),
		ready:    make(chan struct{}),
		killed:   make(chan struct{}),
	}
	for _, addr := range s.Entries {
		a.targets[addr] = &target{configured: true}
	}
	a.background, a.stop = context.WithCancel(context.Background())
	a.loop = controller.New(a.flush)
	if a.meter, err = a.newMeter(); err != nil {
		_ = l.Close()
		return nil, err
	}
	a.dialer = a.entryClient()
	a.server = a.newServer()
	return a, nil
}

// Addr returns the bound address for announcements.
func (a *Agent) Addr() netip.AddrPort { return a.listener.Addr().(*net.TCPAddr).AddrPort() }

// Traffic returns the totals of all connections to entries so far.
func (a *Agent) Traffic() connector.Totals { return a.counts.Totals() }

// Ready returns a channel that is closed once the agent serves.
func (a *Agent) Ready() <-chan struct{} { return a.ready }

// Run serves until the context is cancelled, then drains and returns.
func (a *Agent) Run(ctx context.Context) error {
	var g run.Group
	loopCtx, stopLoop := context.WithCancel(context.Background())
	g.Add(func() error { return a.loop.Run(loopCtx) }, func(error) { stopLoop() })
	g.Add(a.serve, func(error) { _ = a.server.Close() })
	drainCtx, cancelDrain := context.WithCancel(ctx)
	g.Add(func() error { return a.waitAndDrain(drainCtx) }, func(error) { cancelDrain() })
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-a.killed:
		case <-ended:
		}
		return nil
	}, func(error) { close(ended) })

	a.timers.Subscribe(tickInterval, func(time.Time) {
		a.loop.Post(func(now time.Time) {
			a.guard.Tick(now)
			a.follower.Tick(now)
		})
	})
	a.timers.Subscribe(dialInterval, func(time.Time) { a.loop.Post(a.dialEntries) })
	a.loop.Post(a.dialEntries)
	a.watchCertificates()
	a.settings.Logger.Info().
		Str("event", "ready").
		Str("role", string(messenger.RoleAgent)).
		Str("peer", string(a.settings.Peer)).
		Str("address", a.Addr().String()).
		Msg("agent is ready")
	close(a.ready)
	err := g.Run()
	a.timers.Stop()
	return err
}

// waitAndDrain waits until the context is cancelled, refuses new starts, waits for
// the running tasks, and transfers the records.
func (a *Agent) waitAndDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-a.killed:
		return nil
	}
	a.settings.Logger.Info().Str("event", "draining").Msg("agent is draining: it finishes its running tasks and accepts no more")
	a.loop.Post(func(now time.Time) {
		a.draining = true
		upstream, _ := a.guard.Upstream()
		upstream.Leaving = true
		a.guard.Announce(now, upstream)
	})
	deadline := time.Now().Add(a.settings.DrainTimeout)
	for time.Now().Before(deadline) && !a.idle() {
		time.Sleep(tickInterval)
	}
	a.transferRecords(deadline)
	// The last results may not have been sent to the entries yet.
	time.Sleep(flushDelay)
	a.stop()
	return nil
}

// transferTimeout bounds how long an agent that leaves waits until a successor has
// its records. Sending the records in pieces and writing the roster take well under a
// second.
const transferTimeout = 5 * time.Second

// reconnectTimeout bounds how long the transfer waits for an entry while none is
// connected.
const reconnectTimeout = time.Second

// transferRecords transfers the records to another agent, until the deadline at the
// latest.
func (a *Agent) transferRecords(deadline time.Time) {
	if latest := time.Now().Add(transferTimeout); latest.Before(deadline) {
		deadline = latest
	}
	reconnectBy := time.Now().Add(reconnectTimeout)
	for time.Now().Before(deadline) {
		finished, accepted := true, false
		a.loop.Call(func(now time.Time) {
			a.guard.TransferRecords(now)
			finished, accepted = a.guard.RecordsTransferred()
			finished = finished || len(a.conns) == 0 && now.After(reconnectBy)
		})
		if accepted {
			a.settings.Logger.Info().Str("event", "bequeathed").Msg("records transferred to another agent")
			return
		}
		if finished {
			break
		}
		time.Sleep(tickInterval)
	}
	a.settings.Logger.Warn().Msg("records not transferred to another agent; after a takeover older submissions are unknown")
}

// idle reports whether no task runs or waits and no result is delayed. It must not be
// called on the control thread.
func (a *Agent) idle() bool {
	idle := true
	a.loop.Call(func(time.Time) { idle = a.guard.Running()+a.guard.Waiting()+a.guard.DelayedResults() == 0 })
	return idle
}

// flush carries out the guard's decisions. It runs on the control thread.
func (a *Agent) flush(now time.Time) {
	out := a.guard.Take(now)
	for _, ref := range out.Aborts {
		if cancel := a.calls[ref]; cancel != nil {
			cancel()
		}
	}
	for _, call := range out.Invocations {
		a.invoke(call)
	}
	if !out.Wake.IsZero() {
		a.wakeAt(now, out.Wake)
	}
	for _, s := range out.Sends {
		if conn := a.conns[s.To]; conn != nil {
			s.Frame.Config = a.follower.TakeReport(now, s.To)
			conn.Send(s.Frame)
		}
	}
	a.flushConfig(now)
}

// wakeAt schedules a flush on the control thread, unless one is due before. It runs on
// the control thread.
func (a *Agent) wakeAt(now, at time.Time) {
	if a.wakeTime.After(now) && !a.wakeTime.After(at) {
		return
	}
	a.wakeTime = at
	time.AfterFunc(at.Sub(now), func() { a.loop.Post(func(time.Time) {}) })
}

// invoke calls the upstream for one task. It runs on the control thread; the
// call itself does not.
func (a *Agent) invoke(call guard.Invocation) {
	upstream, _ := a.guard.Upstream()
	ctx, cancel := context.WithDeadline(a.background, call.EndBy)
	a.calls[call.Ref] = cancel
	inv := a.invoker
	go func() {
		begun := time.Now()
		reply, err := inv.Call(ctx, invoker.Call{
			Upstream:   upstream.Address,
			Path:       call.Path,
			Submission: call.Ref.Submission,
			Task:       call.Ref.Index,
			Payload:    call.Payload,
			Deadline:   call.EndBy,
		})
		cancel()
		result := taskResult(call.Ref, time.Since(begun), reply, err)
		a.loop.Post(func(now time.Time) {
			delete(a.calls, call.Ref)
			a.guard.Ended(now, call.Ref, result)
		})
	}()
}

func taskResult(ref guard.TaskRef, took time.Duration, reply invoker.Reply, err error) messenger.TaskResult {
	r := messenger.TaskResult{
		Index:           ref.Index,
		Kind:            messenger.ResultDone,
		Payload:         reply.Payload,
		RunTime:         took,
		PeakMemoryBytes: reply.PeakMemoryBytes,
	}
	if err != nil {
		r.Kind = messenger.ResultFailed
		r.Detail = err.Error()
		r.Cause = messenger.CauseUpstream
		if invoker.KindOf(err) == invoker.KindDeadline {
			r.Cause = messenger.CauseDeadline
		}
	}
	return r
}
