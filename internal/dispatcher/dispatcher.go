// Package dispatcher runs an entry: it serves callers, accepts and dials peers,
// calls the platform, and drives the coordinator on the control thread.
//
// The package makes no decisions of its own. The goroutines of connections turn
// requests and frames into events for the control thread; after each batch of events
// the coordinator's output is carried out without blocking.
package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/controller"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/timer"
)

// Settings are the process settings of an entry.
type Settings struct {
	Peer         messenger.Peer // Peer is unique to this run of the entry.
	Region       string
	DataCentre   string
	CallerListen netip.AddrPort
	PeerListen   netip.AddrPort
	AdminListen  netip.AddrPort
	Platform     netip.AddrPort
	// Entries are the peer addresses of some other entries, from which this one gets the
	// configuration if it starts while the platform is down.
	Entries []netip.AddrPort
	Limits  coordinator.Limits
	// DrainNotice is how long the entry accepts requests after a shutdown has begun. In
	// this time the load balancer finds the entry not ready and stops sending requests.
	// It must be less than DrainTimeout.
	DrainNotice time.Duration
	// DrainTimeout bounds how long a shutdown waits for requests in flight.
	DrainTimeout time.Duration
	// Instance names the entry and stays the same when its process is replaced. If it is
	// empty, the data centre and the peer address are used.
	Instance string
	// TLS has the certificates of all listeners. If it is nil, the entry serves without TLS.
	TLS    *certifier.Certifier
	Logger *log.Logger
}

const (
	tickInterval = 10 * time.Millisecond
	dialInterval = 250 * time.Millisecond
	// clockCheckInterval is the interval of the check whether the wall clock was stepped,
	// and of the warnings while it is.
	clockCheckInterval = time.Minute
)

// Entry is a running entry.
type Entry struct {
	settings Settings
	platform *storer.Client
	loop     *controller.Loop
	timers   *timer.Service
	counts   connector.Counts

	config controller.Cell[configurer.Config]
	routes controller.Cell[[]messenger.EntryAddr]
	owned  controller.Cell[partitionSet]
	auth   controller.Cell[credentials]

	meter         *meter.Meter
	peerDialer    *http.Client  // peerDialer dials peers; nil selects the default client.
	stopping      atomic.Bool   // stopping is set once the entry shuts down.
	drained       atomic.Bool   // drained is set while an operator drains the entry.
	configVersion atomic.Uint64 // configVersion is the version of config; 0 if none is known.
	queries       queryTable
	burn          *burnCounts
	holds         holds

	// The fields below belong to the control thread.
	coordinator *coordinator.Coordinator
	peers       map[messenger.Peer]*connector.Conn
	tickets     map[uint64]chan<- *messenger.Answer
	nextTicket  uint64
	versions    configState

	caller, peer, admin net.Listener
	callerServer        *http.Server
	otherServers        []*http.Server  // otherServers are those of peers and of administration.
	background          context.Context // background ends after the drain.
	stop                context.CancelFunc
	ready               chan struct{}
	killed              chan struct{} // killed is closed by Kill.
	killOnce            sync.Once
	dialling            sync.Mutex // dialling is held while the other entries are dialled.
}

// New returns an entry that is bound to its addresses but does not serve yet.
func New(s Settings) (*Entry, error) {
	e := &Entry{
		settings: s,
		platform: storer.New(s.Platform),
		timers:   timer.New(),
		peers:    make(map[messenger.Peer]*connector.Conn),
		tickets:  make(map[uint64]chan<- *messenger.Answer),
		ready:    make(chan struct{}),
		killed:   make(chan struct{}),
		burn:     newBurnCounts(),
	}
	e.background, e.stop = context.WithCancel(context.Background())
	e.loop = controller.New(e.flush)
	var err error
	if e.meter, err = e.newMeter(); err != nil {
		return nil, err
	}
	e.peerDialer = e.peerClient()
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	e.coordinator = coordinator.New(registrar.Entry{
		Peer:       s.Peer,
		Region:     s.Region,
		DataCentre: s.DataCentre,
		PeerAddr:   e.PeerAddr(),
	}, s.Limits, coordinator.DefaultRules())
	e.newConfigState(time.Now())
	return e, nil
}

// CallerAddr returns the bound address for callers.
func (e *Entry) CallerAddr() netip.AddrPort { return boundAddr(e.caller) }

// PeerAddr returns the bound address for peers.
func (e *Entry) PeerAddr() netip.AddrPort { return boundAddr(e.peer) }

// AdminAddr returns the bound address for administration.
func (e *Entry) AdminAddr() netip.AddrPort { return boundAddr(e.admin) }

// Traffic returns the totals of all connections to peers so far.
func (e *Entry) Traffic() connector.Totals { return e.counts.Totals() }

// Ready returns a channel that is closed once the entry serves.
func (e *Entry) Ready() <-chan struct{} { return e.ready }

// Run serves until the context ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	loopCtx, stopLoop := context.WithCancel(context.Background())
	g.Add(func() error { return e.loop.Run(loopCtx) }, func(error) { stopLoop() })
	e.callerServer = e.addServer(&g, e.secure(e.caller, false), e.withMetrics(e.callerHandler()))
	e.otherServers = []*http.Server{
		e.addServer(&g, e.secure(e.peer, true), e.peerHandler()),
		e.addServer(&g, e.secure(e.admin, false), e.adminHandler()),
	}
	drainCtx, cancelDrain := context.WithCancel(ctx)
	g.Add(func() error { return e.waitAndDrain(drainCtx) }, func(error) { cancelDrain() })
	ended := make(chan struct{})
	g.Add(func() error {
		select {
		case <-e.killed:
		case <-ended:
		}
		return nil
	}, func(error) { close(ended) })

	e.subscribe()
	e.settings.Logger.Info().
		Str("event", "ready").
		Str("role", string(messenger.RoleEntry)).
		Str("peer", string(e.settings.Peer)).
		Str("caller-address", e.CallerAddr().String()).
		Str("peer-address", e.PeerAddr().String()).
		Str("admin-address", e.AdminAddr().String()).
		Msg("entry is ready")
	close(e.ready)
	err := g.Run()
	e.timers.Stop()
	return err
}

func (e *Entry) subscribe() {
	e.timers.Subscribe(tickInterval, func(time.Time) {
		e.loop.Post(func(now time.Time) { e.coordinator.Tick(now) })
	})
	e.timers.Subscribe(dialInterval, func(time.Time) { e.dialEntries() })
	e.timers.Subscribe(clockCheckInterval, func(time.Time) { e.checkWallClock() })
	e.subscribeConfig()
	e.subscribeAdministration()
}

// checkWallClock logs a warning if the wall clock was stepped since the start by more
// than MaxClockSkew. The entry continues on its own clock and rejects ids whose time is
// too far from it.
func (e *Entry) checkWallClock() {
	if offset := e.loop.WallClockOffset(); offset.Abs() > e.settings.Limits.Owner.MaxClockSkew {
		e.settings.Logger.Warn().
			Str("event", "clock-stepped").
			Dur("wall-clock-ahead", offset).
			Msg("the wall clock was stepped since the start; the entry ignores the step until it is restarted")
	}
}

// waitAndDrain waits for the end of the context, hands the partitions over and waits
// for the requests in flight. New requests are accepted for the time of the drain
// notice: until the load balancer has noticed the shutdown it sends more, and they
// must not find a closed port. Peers and administration are served until the end,
// since answers arrive over the connections of peers, and /readyz has to report that
// the entry is draining.
func (e *Entry) waitAndDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-e.killed:
		return nil
	}
	e.stopping.Store(true)
	e.settings.Logger.Info().Str("event", "draining").Msg("entry is draining: handing over its partitions and finishing the requests in flight")
	drain, cancel := context.WithTimeout(context.Background(), e.settings.DrainTimeout)
	defer cancel()
	e.loop.Post(func(now time.Time) { e.coordinator.Drain(now) })
	e.awaitDrainNotice()
	e.shutDown(drain, e.callerServer)
	e.awaitDrained(drain)
	e.storeBurn(drain)
	e.shutDown(drain, e.otherServers...)
	e.stop()
	return nil
}

// awaitDrainNotice waits for the drain notice, or until the entry is killed.
func (e *Entry) awaitDrainNotice() {
	select {
	case <-e.killed:
	case <-time.After(e.settings.DrainNotice):
	}
}

// shutDown closes the listeners of servers and waits for their requests in flight.
func (e *Entry) shutDown(ctx context.Context, servers ...*http.Server) {
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			e.settings.Logger.Warn().Err(err).Msg("the drain timeout expired with requests in flight")
		}
	}
}

// awaitDrained waits until no partition remains to be handed over and no request to be
// answered.
func (e *Entry) awaitDrained(ctx context.Context) {
	for {
		drained := false
		e.loop.Call(func(now time.Time) { drained = e.coordinator.Drained(now) })
		if drained {
			return
		}
		select {
		case <-ctx.Done():
			e.settings.Logger.Warn().Msg("the drain timeout expired before the coordinator was drained")
			return
		case <-time.After(tickInterval):
		}
	}
}

// flush carries out the coordinator's decisions. It must be called on the control
// thread.
func (e *Entry) flush(now time.Time) {
	out := e.coordinator.Take(now)
	for _, s := range out.Sends {
		if conn := e.peers[s.To]; conn != nil {
			conn.Send(s.Frame)
		}
	}
	for _, a := range out.Answers {
		if reply, ok := e.tickets[a.Ticket]; ok {
			delete(e.tickets, a.Ticket)
			reply <- a.Answer
		}
	}
	for _, w := range out.QueueTimes {
		e.meter.Started(w.Service, w.Duration)
	}
	for _, r := range out.Reads {
		go e.storeRead(r)
	}
	for _, w := range out.Writes {
		go e.storeWrite(w)
	}
	if out.RoutesChanged {
		e.publish()
		go e.dialEntries()
	}
	e.flushConfig(now)
}

// publish updates the entries and owned partitions that other goroutines read. It must
// be called on the control thread.
func (e *Entry) publish() {
	entries := e.coordinator.Entries()
	e.routes.Publish(&entries)
	set := new(partitionSet)
	for _, p := range e.coordinator.Owned() {
		set[p.Partition] = true
	}
	e.owned.Publish(set)
}

func (e *Entry) storeRead(r registrar.Read) {
	var rows storer.Range
	err := e.awaitHolds(e.background)
	if err == nil {
		rows, err = e.platform.Read(e.background, r.Prefix)
	}
	e.loop.Post(func(now time.Time) { e.coordinator.StoreRead(now, r.ID, rows, err) })
}

func (e *Entry) storeWrite(w registrar.Write) {
	outcome, err := e.platform.Write(e.background, w.Transaction)
	e.loop.Post(func(now time.Time) { e.coordinator.StoreWritten(now, w.ID, outcome, err) })
}

// Peers returns the number of agents and entries that are connected. It must not
// be called on the control thread.
func (e *Entry) Peers() int {
	n := 0
	e.loop.Call(func(time.Time) { n = len(e.peers) })
	return n
}

// Serving reports whether the entry has a configuration, knows an owner for every
// partition, is connected to those owners, and has the given number of serving agents.
// It must not be called on the control thread.
func (e *Entry) Serving(agents int) bool {
	if e.config.Read() == nil {
		return false
	}
	serving := false
	e.loop.Call(func(now time.Time) { serving = e.coordinator.Serving(now, agents) })
	return serving
}
