package surveyor

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/agent"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/dispatcher"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/timer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Options are the parameters of all measurements over connections.
type Options struct {
	// PID is the id of the measured process, which must run on this machine.
	PID int
	// MeasurementDuration is how long each size is measured, after the settling time.
	MeasurementDuration time.Duration
	Sizes               []int
	Limits              coordinator.Limits
	AgentLimits         guard.Limits
	Logger              *log.Logger
}

const (
	settleTime       = 2 * time.Second
	stopTimeout      = time.Second
	readyTimeout     = 30 * time.Second
	readyPoll        = 20 * time.Millisecond
	slotsPerUpstream = 8
	announcementTTL  = time.Minute
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// agentGroup runs several agents, normally separate processes, in this process.
type agentGroup struct {
	options  Options
	entries  []netip.AddrPort
	upstream *httptest.Server
	agents   []*agent.Agent
	wg       sync.WaitGroup
}

// growTo starts agents until n are running.
func (c *agentGroup) growTo(ctx context.Context, n int) error {
	for len(c.agents) < n {
		i := len(c.agents)
		a, err := agent.New(agent.Settings{
			Peer:         messenger.Peer("agent-survey-" + strconv.Itoa(i)),
			Region:       "default",
			DataCentre:   "default",
			Rack:         strconv.Itoa(i / 3),
			Listen:       loopback,
			Entries:      c.entries,
			Limits:       c.options.AgentLimits,
			DrainTimeout: stopTimeout,
			Logger:       c.options.Logger,
		})
		if err != nil {
			return errors.Trace(err)
		}
		c.agents = append(c.agents, a)
		c.wg.Go(func() { _ = a.Run(ctx) })
		c.wg.Go(func() { _ = emulator.Announce(ctx, a.Addr(), announcementOf(c.upstream)) })
	}
	return nil
}

func announcementOf(upstream *httptest.Server) invoker.Announcement {
	return invoker.Announcement{
		Address:     netip.MustParseAddrPort(upstream.Listener.Addr().String()),
		Services:    []string{"quote"},
		Slots:       slotsPerUpstream,
		Connections: slotsPerUpstream * slotsPerUpstream,
		MemoryBytes: 32 << 30,
		TimeToLive:  submitter.Duration(announcementTTL),
	}
}

// traffic sums the traffic of all agents.
func (c *agentGroup) traffic() connector.Totals {
	var sum connector.Totals
	for _, a := range c.agents {
		sum = sum.Add(a.Traffic())
	}
	return sum
}

// MeasureAgents measures an entry, given by its addresses for peers and for
// administration, by the number of idle agents that are connected to it.
func MeasureAgents(ctx context.Context, entry, admin netip.AddrPort, o Options) ([]Slope, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &agentGroup{options: o, entries: []netip.AddrPort{entry}, upstream: httptest.NewServer(emulator.NewUpstream(emulator.UpstreamOptions{Slots: slotsPerUpstream}))}
	defer c.upstream.Close()
	defer c.wg.Wait()
	defer cancel()
	m := newMeters("agent",
		meter{"entry-idle-core", "core"}, meter{"entry-resident", "B"},
		meter{"entry-idle-messages", "1/s"}, meter{"entry-idle-bytes", "B/s"},
		meter{"entry-join-time", "us"}, meter{"entry-join-messages", "1"}, meter{"entry-join-bytes", "B"},
		meter{"listing-time", "us"}, meter{"listing-bytes", "B"})
	totalJoinTime := 0.0 // processor time of the entry for all joins so far, in microseconds
	for _, n := range o.Sizes {
		before, err := ReadUsage(o.PID)
		if err != nil {
			return nil, err
		}
		started := time.Now()
		if err := c.growTo(ctx, n); err != nil {
			return nil, err
		}
		timer.Sleep(ctx, settleTime)
		joined, elapsed := c.traffic(), time.Since(started)
		settled, err := ReadUsage(o.PID)
		if err != nil {
			return nil, err
		}
		r, err := measure(ctx, o, c.traffic)
		if err != nil {
			return nil, err
		}
		l, err := measureListing(ctx, admin, o.PID, r.cores)
		if err != nil {
			return nil, err
		}
		totalJoinTime += (settled.ProcessorTime-before.ProcessorTime).Seconds()*1e6 - r.cores*elapsed.Seconds()*1e6
		m.add(float64(n), r.cores, r.resident, r.messages, r.bytes,
			totalJoinTime, float64(joined.MessagesSent+joined.MessagesRead), float64(joined.BytesSent+joined.BytesRead),
			l.cpuTime, l.bytes)
	}
	return m.slopes(), ctx.Err()
}

// MeasureEntries measures, by the number of entries, the agent process o.PID, and the
// traffic of entries with each other and with the table. It starts entries that accept
// peers at the given address and at the following ports; the agent must connect to
// every one of them.
func MeasureEntries(ctx context.Context, first netip.AddrPort, o Options) ([]Slope, error) {
	f := &entryGroup{options: o, first: first, store: emulator.NewPlatform(1, emulator.Faults{})}
	if _, err := launcher.StoreConfig(f.store, "", nil); err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	f.platform = httptest.NewUnstartedServer(f.store.Handler())
	f.platformListener = &countingListener{Listener: f.platform.Listener}
	f.platform.Listener = f.platformListener
	f.platform.Start()
	defer f.platform.Close()
	defer f.wg.Wait()
	defer cancel()
	m := newMeters("entry",
		meter{"agent-idle-core", "core"}, meter{"agent-resident", "B"},
		meter{"entries-messages", "1/s"}, meter{"entries-bytes", "B/s"},
		meter{"store-reads", "1/s"}, meter{"store-writes", "1/s"}, meter{"store-bytes", "B/s"})
	for _, n := range o.Sizes {
		if err := f.growTo(ctx, n); err != nil {
			return nil, err
		}
		timer.Sleep(ctx, 2*settleTime)
		if err := f.checkConnected(); err != nil {
			return nil, err
		}
		reads, writes := f.store.Counts()
		bytes := f.platformListener.bytes.Load()
		r, err := measure(ctx, o, f.traffic)
		if err != nil {
			return nil, err
		}
		readsAfter, writesAfter := f.store.Counts()
		seconds := r.elapsed.Seconds()
		m.add(float64(n), r.cores, r.resident, r.messages, r.bytes,
			float64(readsAfter-reads)/seconds, float64(writesAfter-writes)/seconds,
			float64(f.platformListener.bytes.Load()-bytes)/seconds)
	}
	return m.slopes(), ctx.Err()
}

// entryGroup runs several entries, normally separate processes, in this process.
type entryGroup struct {
	options          Options
	first            netip.AddrPort
	store            *emulator.Platform
	platform         *httptest.Server
	platformListener *countingListener // counts the bytes of requests to the platform
	entries          []*dispatcher.Entry
	wg               sync.WaitGroup
}

// growTo starts entries until n are running.
func (f *entryGroup) growTo(ctx context.Context, n int) error {
	for len(f.entries) < n {
		listen := netip.AddrPortFrom(f.first.Addr(), f.first.Port()+uint16(len(f.entries)))
		e, err := dispatcher.New(dispatcher.Settings{
			Peer:         messenger.Peer("entry-survey-" + strconv.Itoa(len(f.entries))),
			Region:       "default",
			DataCentre:   "default",
			CallerListen: loopback,
			PeerListen:   listen,
			AdminListen:  loopback,
			Platform:     netip.MustParseAddrPort(f.platform.Listener.Addr().String()),
			Limits:       f.options.Limits,
			DrainTimeout: stopTimeout,
			Logger:       f.options.Logger,
		})
		if err != nil {
			return errors.Trace(err)
		}
		f.entries = append(f.entries, e)
		f.wg.Go(func() { _ = e.Run(ctx) })
	}
	return nil
}

// checkConnected returns an error unless every entry is connected to the agent and to
// every other entry.
func (f *entryGroup) checkConnected() error {
	for i, e := range f.entries {
		// One connection to the agent and one to every other entry.
		if want := len(f.entries); e.Peers() != want {
			return &Error{Op: "entries", Kind: KindSystem, Err: errors.Errorf("entry %d has %d peers, not %d", i, e.Peers(), want)}
		}
	}
	return nil
}

// traffic sums the traffic of all entries.
func (f *entryGroup) traffic() connector.Totals {
	var sum connector.Totals
	for _, e := range f.entries {
		sum = sum.Add(e.Traffic())
	}
	return sum
}
