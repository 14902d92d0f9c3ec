// Package broker runs the entry of a system whose jobs are ephemeral: it accepts the
// connections of agents, passes jobs to the assigner on the control thread, and
// distributes the catalogue of queues among the entries.
//
// The package makes no decisions of its own, and it has no listener for callers: the
// program that uses it passes their jobs to the methods of a [Broker].
package broker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/canceller"
	"sardinelock.dev/sardinelock/internal/cataloguer"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/controller"
	"sardinelock.dev/sardinelock/internal/evacuator"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/linker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
	"sardinelock.dev/sardinelock/internal/receiver"
	"sardinelock.dev/sardinelock/internal/timer"
	"sardinelock.dev/sardinelock/internal/tracker"
)

const (
	// tickInterval is the interval at which waiting jobs and silent agents are checked. It
	// is a fraction of the shortest latency objective.
	tickInterval = 20 * time.Millisecond
	dialInterval = 100 * time.Millisecond
	// configCheckInterval is the interval at which an entry checks whether other entries have
	// a newer catalogue.
	configCheckInterval = 50 * time.Millisecond
	// loadLogInterval is the interval of the log line with the load.
	loadLogInterval = 2 * time.Second
	// silentCheckInterval is the interval at which new connections without a frame are checked.
	silentCheckInterval = time.Second
	// announceInterval is the shortest time between two announcements of new entries.
	announceInterval = 100 * time.Millisecond
)

// Settings are the settings of a broker.
type Settings struct {
	Instance   string // Instance names the machine; a restart does not change it.
	Region     string
	DataCentre string
	// PeerListen is where agents and other entries connect.
	PeerListen netip.AddrPort
	// PeerAnnounce is the address at which they reach PeerListen. It is PeerListen if it is unset.
	PeerAnnounce netip.AddrPort
	// Entries are the peer addresses of some entries.
	Entries []netip.AddrPort
	Limits  assigner.Limits
	// ConfigRequestDelay is how long an entry waits for a catalogue from the platform before
	// it requests it from an entry that has it.
	ConfigRequestDelay time.Duration
	// Evacuations are the settings for the evacuation of data centres; nil if there is none in this
	// deployment.
	Evacuations *evacuator.Limits
	// MaxHandshakes is the largest number of connections at PeerListen whose other side is not known to be
	// a peer; 0 sets no limit.
	MaxHandshakes int
	Journal       *journaler.Journaler
}

// Broker is a running entry.
type Broker struct {
	settings  Settings
	peer      messenger.Peer
	loop      *controller.Loop
	timers    *timer.Service
	listener  net.Listener
	server    *http.Server
	links     *linker.Linker
	counts    connector.Counts
	catalogue cataloguer.Store
	tickets   atomic.Uint64
	serving   atomic.Bool
	draining  atomic.Bool // draining is set once the process shuts down.
	meter     *meter.Meter

	// The fields below belong to the control thread.
	assigner *assigner.Assigner
	agents   map[messenger.Peer]*connector.Conn
	// newAgents are the connections of agents that have not sent a frame yet, with the times
	// at which they were accepted.
	newAgents map[*connector.Conn]time.Time
	// latestOpened has, by instance, when the latest connection that was registered was
	// opened. It never decreases.
	latestOpened map[string]time.Time
	entries      map[messenger.Peer]*connector.Conn
	waiters      map[uint64]chan<- assigner.Answer
	document     []byte // document is the encoded catalogue in force.
	directory    directory
	announcedAt  time.Time // announcedAt is when new entries were last announced.
	versions     versionTracker
	tracker      *tracker.Tracker
	// recalledBy has the entries that wait for the runs of recalled jobs to end.
	recalledBy map[string][]messenger.Peer
	relays     relayTargets
	// nextRelayed is the first of the jobs that the next message through agents tells of, if there
	// are too many for one.
	nextRelayed string
	canceller   *canceller.Canceller
	// cancelWaiters has the callers that wait for the end of a cancel, by job.
	cancelWaiters map[string][]chan<- canceller.Outcome
	// cancellations has the messages about cancels that are sent with the next flush.
	cancellations map[*connector.Conn][]messenger.Cancellation
	inquired      []string // inquired has the jobs whose inquiries are sent with the next flush.
	// confirmedAt is when the platform or a peer last sent the version in force.
	confirmedAt time.Time
	evacuations evacuations

	background context.Context
	stop       context.CancelFunc
}

// New returns a broker that is bound to its address but does not serve yet. It
// returns an error of kind [KindListen] if the address cannot be bound.
func New(s Settings) (*Broker, error) {
	if !s.PeerAnnounce.IsValid() {
		s.PeerAnnounce = s.PeerListen
	}
	l, err := receiver.Listen(s.PeerListen.String())
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindListen, Err: err}
	}
	b := &Broker{
		settings:      s,
		peer:          messenger.Peer("entry-" + s.Instance + "-" + uuid.NewString()),
		timers:        timer.New(),
		listener:      l,
		assigner:      assigner.New(s.Limits, s.DataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		agents:        make(map[messenger.Peer]*connector.Conn),
		newAgents:     make(map[*connector.Conn]time.Time),
		latestOpened:  make(map[string]time.Time),
		entries:       make(map[messenger.Peer]*connector.Conn),
		waiters:       make(map[uint64]chan<- assigner.Answer),
		tracker:       tracker.New(s.trackerLimits()),
		recalledBy:    make(map[string][]messenger.Peer),
		relays:        newRelayTargets(),
		canceller:     canceller.New(canceller.Limits{RecordLifetime: cancelMemory, MaxFound: maxFoundCancels, MaxUnknown: maxUnknownCancels, AnswerTimeout: cancelAnswerTimeout}),
		cancelWaiters: make(map[string][]chan<- canceller.Outcome),
		cancellations: make(map[*connector.Conn][]messenger.Cancellation),
		versions:      versionTracker{delay: s.ConfigRequestDelay, peers: make(map[messenger.Peer]uint64)},
	}
	b.evacuations = newEvacuations(s.Evacuations)
	b.background, b.stop = context.WithCancel(context.Background())
	b.loop = controller.NewOnClock(timer.NewBootTimeClock(), b.flush)
	// A pause before the control thread runs for the first time counts from here on.
	b.evacuations.evacuator.Start(b.loop.Elapsed(b.loop.Now()))
	b.entriesKnown(b.loop.Now(), s.Entries)
	identity := meter.Identity{Role: string(messenger.RoleEntry), Peer: string(b.peer), Region: s.Region, DataCentre: s.DataCentre}
	if b.meter, err = meter.New(identity, meter.Sources{Traffic: &b.counts, Busy: b.loop.Busy, Entry: b.entryState}); err != nil {
		_ = l.Close()
		return nil, err
	}
	options := connector.Options{Hello: b.hello, Counts: &b.counts, MaxHelloBytes: maxHelloBytes}
	b.links = linker.New(b.background, b.loop, options, linker.Hooks{
		Up: b.addConn, Receive: b.receive, Down: b.removeConn, DialFailed: b.dialFailed,
	})
	b.links.Add(true, b.dialTargets(s.Entries)...)
	peers := receiver.New(receiver.Limits{MaxConns: s.MaxHandshakes})
	mux := http.NewServeMux()
	mux.HandleFunc(connector.Path, func(w http.ResponseWriter, r *http.Request) {
		conn, err := connector.Accept(w, r, options)
		if err != nil {
			s.Journal.Line("peer-refused").Str("address", r.RemoteAddr).Err(err).Msg("")
			return
		}
		peers.Admit(r.Context())
		b.links.Serve(conn)
	})
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout, IdleTimeout: handshakeTimeout, MaxHeaderBytes: maxHelloBytes}
	peers.Protect(b.server)
	return b, nil
}

const (
	// handshakeTimeout bounds how long a peer may take to send the headers of its handshake.
	handshakeTimeout = 5 * time.Second
	// maxHelloBytes bounds these headers, and the message by which the peer introduces itself, which has
	// some hundred bytes.
	maxHelloBytes = 16 << 10
)

// dialTargets returns the addresses that this entry dials: of two entries, the one with
// the lower address dials.
func (b *Broker) dialTargets(addrs []netip.AddrPort) []netip.AddrPort {
	var targets []netip.AddrPort
	for _, a := range addrs {
		if b.settings.PeerAnnounce.Compare(a) < 0 {
			targets = append(targets, a)
		}
	}
	return targets
}

// Run serves until the context ends.
func (b *Broker) Run(ctx context.Context) error {
	var g run.Group
	loopCtx, stopLoop := context.WithCancel(context.Background())
	g.Add(func() error { return b.loop.Run(loopCtx) }, func(error) { stopLoop() })
	g.Add(b.serve, func(error) { _ = b.server.Close() })
	end, cancel := context.WithCancel(ctx)
	g.Add(func() error { <-end.Done(); return nil }, func(error) { cancel() })
	b.timers.Subscribe(tickInterval, func(time.Time) { b.loop.Post(b.endUnanswered) })
	b.timers.Subscribe(dialInterval, func(time.Time) { b.loop.Post(b.links.DialDue) })
	b.timers.Subscribe(configCheckInterval, func(time.Time) { b.loop.Post(b.requestConfig) })
	b.timers.Subscribe(silentCheckInterval, func(time.Time) { b.loop.Post(b.closeSilentAgents) })
	b.timers.Subscribe(tellInterval, func(time.Time) { b.loop.Post(b.tellOpenJobs) })
	b.timers.Subscribe(loadLogInterval, func(time.Time) { b.loop.Post(b.logLoad) })
	err := g.Run()
	b.stop()
	b.timers.Stop()
	return err
}

func (b *Broker) serve() error {
	if err := b.server.Serve(b.listener); err != nil && err != http.ErrServerClosed {
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}
	return nil
}

// Addr returns the bound address for peers.
func (b *Broker) Addr() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// Meter returns the metrics of the process.
func (b *Broker) Meter() *meter.Meter { return b.meter }

// entryState returns the state of the entry for its metrics.
func (b *Broker) entryState() (s meter.EntryState) {
	b.loop.Call(func(now time.Time) {
		s.OpenJobs, s.QueuedTasks = b.assigner.Counts()
		s.KeptJobs = s.OpenJobs
		for _, c := range b.assigner.States() {
			s.Upstreams = append(s.Upstreams, meter.StateCount{State: string(c.State), Count: c.Count})
		}
		s.Peers = []meter.StateCount{
			{State: string(messenger.RoleAgent), Count: len(b.agents)},
			{State: string(messenger.RoleEntry), Count: len(b.entries)},
		}
		s.ConfigVersion, s.ConfigAge = b.version(), -1
		if !b.confirmedAt.IsZero() {
			s.ConfigAge = now.Sub(b.confirmedAt)
		}
		s.Evacuations = meter.StateOfEvacuations(b.evacuations.evacuator, b.loop.Elapsed(now))
	})
	return s
}

// Ready reports whether the entry should get new jobs: it knows the queues, an upstream
// can run tasks, and the entry is not draining.
func (b *Broker) Ready() bool {
	return b.serving.Load() && !b.draining.Load() && b.catalogue.InForce() != nil
}

// Catalogue returns the queues in force, or nil if none are known yet.
func (b *Broker) Catalogue() *cataloguer.Catalogue { return b.catalogue.InForce() }

// Submit runs a job and waits for its answer. It calls taken once the job does not wait for the control
// thread any more, possibly after Submit has returned, and not if the process ends first. If the context ends first, the assigner is
// told that the caller has left, and the error is of kind [KindCallerLeft].
func (b *Broker) Submit(ctx context.Context, j assigner.Job, taken func()) (assigner.Answer, error) {
	j.Ticket = b.tickets.Add(1)
	answers := make(chan assigner.Answer, 1)
	received := b.loop.Now()
	posted := b.loop.Post(func(now time.Time) {
		j.Unread += now.Sub(received)
		b.waiters[j.Ticket] = answers
		b.submit(now, j)
		taken()
	})
	if !posted {
		taken()
		return assigner.Answer{}, &Error{Op: "submit", Kind: KindClosed, Err: context.Canceled}
	}
	select {
	case a := <-answers:
		return a, nil
	case <-ctx.Done():
		b.loop.Post(func(now time.Time) {
			delete(b.waiters, j.Ticket)
			b.assigner.CallerLeft(b.loop.Elapsed(now), j.ID, j.Ticket)
		})
		return assigner.Answer{}, &Error{Op: "submit", Kind: KindCallerLeft, Err: ctx.Err()}
	}
}

// Status reports whether a job is known, which it is until it has an answer, and whether
// any of its tasks was launched.
func (b *Broker) Status(id string) (known, launched bool) {
	b.loop.Call(func(time.Time) { known, launched = b.assigner.Known(id) })
	return known, launched
}

// Waiting returns the number of jobs in a queue that have not launched a task.
func (b *Broker) Waiting(queue string) (n int) {
	b.loop.Call(func(time.Time) { n = b.assigner.WaitingJobs(queue) })
	return n
}

// Outstanding returns the number of jobs without an answer.
func (b *Broker) Outstanding() (jobs int) {
	b.loop.Call(func(time.Time) { jobs, _ = b.assigner.Counts() })
	return jobs
}

// StopAdmitting makes the broker reject new jobs.
func (b *Broker) StopAdmitting() { b.loop.Post(func(time.Time) { b.assigner.StopAdmitting() }) }

// AbandonAll answers every job that has no answer yet, for the end of the process.
func (b *Broker) AbandonAll() {
	b.loop.Call(func(now time.Time) { b.assigner.AbandonAll(b.loop.Elapsed(now)) })
}

// AddEntries adds peer addresses of entries.
func (b *Broker) AddEntries(entries []netip.AddrPort) {
	b.loop.Post(func(now time.Time) {
		known := b.links.Addresses()
		added := slices.DeleteFunc(b.dialTargets(entries), func(a netip.AddrPort) bool { return slices.Contains(known, a) })
		b.entriesKnown(now, added)
		b.links.Add(false, added...)
	})
}

// Offer applies a catalogue from the platform if it is newer than the one in force.
func (b *Broker) Offer(c *cataloguer.Catalogue) {
	b.loop.Post(func(now time.Time) { b.applyCatalogue(now, c, "platform") })
}

// flush carries out the assigner's decisions. It must be called on the control thread.
func (b *Broker) flush(now time.Time) {
	b.advanceEvacuations(now)
	out := b.assigner.Advance(b.loop.Elapsed(now))
	b.serving.Store(b.assigner.Serving(b.loop.Elapsed(now)))
	for _, d := range out.Decisions {
		b.logDecision(d)
	}
	for _, queue := range out.Crashed {
		b.meter.Crashed(queue)
	}
	for _, a := range out.Answers {
		b.deliverAnswer(a)
	}
	for _, job := range out.Recalled {
		b.answerRecalls(job)
	}
	for _, s := range out.Sends {
		if conn := b.agents[s.To]; conn != nil {
			conn.Send(s.Frame)
		}
	}
	for _, peer := range out.Closes {
		if conn := b.agents[peer]; conn != nil {
			delete(b.agents, peer)
			conn.Close()
		}
	}
	b.sendInquiries()
	b.sendCancellations()
	b.announceEntries(now)
}

func (b *Broker) deliverAnswer(a assigner.Answer) {
	b.meter.Answered(a.Queue, string(a.Outcome), a.Reason, a.Elapsed)
	if a.Launched {
		b.meter.Started(a.Queue, a.QueueTime)
	}
	line := b.settings.Journal.Line("job-"+string(a.Outcome)).Str("job", a.Job).Str("queue", a.Queue).
		Str("reason", a.Reason).Dur("took", a.Elapsed).Dur("waited", a.QueueTime).
		Dur("retry-after", a.RetryAfter).Uint64("config-version", b.version())
	if a.Outcome == assigner.OutcomeRejected {
		line.Int("free-upstreams", a.Shortage.FreeUpstreams).Int("pending-tasks", a.Shortage.PendingTasks)
		if a.Shortage.FreeUpstreams > 0 {
			b.meter.RejectedWhileFree(a.Queue)
		}
	}
	line.Msg("")
	if w := b.waiters[a.Ticket]; w != nil {
		delete(b.waiters, a.Ticket)
		w <- a
	}
}

func (b *Broker) logLoad(time.Time) {
	jobs, pending := b.assigner.Counts()
	capacity, used := b.assigner.Resources()
	b.settings.Journal.Line("load").Int("jobs", jobs).Int("pending", pending).
		Int64("capacity-milli-cpu", capacity.MilliCPU).Int64("used-milli-cpu", used.MilliCPU).
		Int("agents", len(b.agents)).Int("entries", len(b.entries)).Uint64("config-version", b.version()).
		Uint64("lines-left-out", b.settings.Journal.Omitted()).Msg("")
}

func (b *Broker) logDecision(d assigner.Decision) {
	e := b.settings.Journal.Line(d.Event)
	if d.Task.Job != "" {
		e = e.Str("job", d.Task.Job).Int("step", d.Task.Step).Int("task", d.Task.Index).Uint64("run", d.Run)
	}
	if d.Proof != "" {
		e = e.Str("proof", d.Proof)
	}
	if d.JobAge > 0 {
		e = e.Dur("job-age", d.JobAge)
	}
	e.Str("instance", d.Instance).Str("reason", d.Reason).Dur("wait", d.Wait).Dur("age", d.Age).Msg("")
}
