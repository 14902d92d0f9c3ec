// Package launcher runs a whole system in one process on loopback: an emulated
// platform, entries, and agents with emulated upstreams.
//
// It is used for development, load experiments and tests. All connections are real;
// entries and agents are goroutines instead of processes.
package launcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/agent"
	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/dispatcher"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Properties of the upstreams and of the whole system.
const (
	upstreamSlots       = 8
	upstreamConnections = 64
	upstreamMemoryBytes = 32 << 30
	agentsPerRack       = 3
	dataCentres         = 3
	announcementTTL     = 5 * time.Second
	readyTimeout        = 15 * time.Second
	readyPollInterval   = 10 * time.Millisecond
	drainTimeout        = 5 * time.Second
)

// Options describe a system.
type Options struct {
	Entries, Agents int
	// BaseFile is the base configuration; if it is empty, the shipped one is used.
	BaseFile string
	// OverlayFiles are the overlays of sites; the data centres are dc-0 to dc-2.
	OverlayFiles []string
	// Slots is the number of slots of each upstream; if it is 0, an upstream has 8.
	Slots       int
	Limits      coordinator.Limits
	AgentLimits guard.Limits
	// TLS has the certificates of all entries and agents. If it is nil, they run without TLS.
	TLS    *certifier.Certifier
	Logger *log.Logger
}

// System is a running system. Entries and agents that were killed or drained stay in
// its lists, so that indices remain valid.
type System struct {
	Platform *emulator.Platform
	// PlatformAddr is where the platform is served.
	PlatformAddr netip.AddrPort
	Entries      []*dispatcher.Entry
	Agents       []*agent.Agent
	Upstreams    []*emulator.Upstream

	ctx           context.Context
	options       Options
	services      []string
	upstreamAddrs []netip.AddrPort     // upstreamAddrs has one address per upstream.
	drainEntries  []context.CancelFunc // drainEntries has one function per entry.
	drainAgents   []context.CancelFunc // drainAgents has one function per agent.

	wg   sync.WaitGroup
	mu   sync.Mutex
	errs []error
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Start starts a system, which runs until the context ends.
func Start(ctx context.Context, o Options) (*System, error) {
	if o.Slots == 0 {
		o.Slots = upstreamSlots
	}
	s := &System{ctx: ctx, options: o, Platform: emulator.NewPlatform(1, emulator.Faults{})}
	var err error
	if s.services, err = StoreConfig(s.Platform, o.BaseFile, o.OverlayFiles); err != nil {
		return nil, err
	}
	if s.PlatformAddr, err = s.serve(ctx, s.Platform.Handler()); err != nil {
		return nil, err
	}
	for range o.Entries {
		if err := s.AddEntry(); err != nil {
			return nil, err
		}
	}
	for range o.Agents {
		if err := s.AddAgent(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// CallerAddrs returns the addresses at which the entries accept callers.
func (s *System) CallerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries {
		out = append(out, e.CallerAddr())
	}
	return out
}

// UpstreamAddrs returns the addresses of the upstreams.
func (s *System) UpstreamAddrs() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.upstreamAddrs)
}

// AdminAddrs returns the addresses of the entries for administration.
func (s *System) AdminAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries {
		out = append(out, e.AdminAddr())
	}
	return out
}

func (s *System) peerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries {
		out = append(out, e.PeerAddr())
	}
	return out
}

// AwaitReady waits until every entry can schedule tasks on every agent.
func (s *System) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range s.Entries {
		for !e.Serving(len(s.Agents)) {
			select {
			case <-ctx.Done():
				return errors.New("the system did not become ready")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Wait waits until the whole system has stopped and returns the errors of its parts.
func (s *System) Wait() []error {
	s.wg.Wait()
	return s.errs
}

// AddEntry starts one more entry.
func (s *System) AddEntry() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.Entries)
	ctx, drain := context.WithCancel(s.ctx)
	e, err := dispatcher.New(dispatcher.Settings{
		Peer:         messenger.Peer("entry-" + strconv.Itoa(i)),
		Region:       "default",
		DataCentre:   dataCentre(i),
		CallerListen: loopback,
		PeerListen:   loopback,
		AdminListen:  loopback,
		Platform:     s.PlatformAddr,
		Entries:      s.peerAddrs(),
		Limits:       s.options.Limits,
		DrainTimeout: drainTimeout,
		TLS:          s.options.TLS,
		Logger:       s.options.Logger,
	})
	if err != nil {
		drain()
		return err
	}
	s.drainEntries = append(s.drainEntries, drain)
	s.Entries = append(s.Entries, e)
	s.run(func() error { return e.Run(ctx) })
	return nil
}

// AddAgent starts one more agent with its upstream.
func (s *System) AddAgent() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.Agents)
	ctx, drain := context.WithCancel(s.ctx)
	a, err := agent.New(agent.Settings{
		Peer:         messenger.Peer("agent-" + strconv.Itoa(i)),
		Region:       "default",
		DataCentre:   dataCentre(i),
		Rack:         "r" + strconv.Itoa(i/agentsPerRack),
		Listen:       loopback,
		Entries:      s.peerAddrs(),
		Limits:       s.options.AgentLimits,
		DrainTimeout: drainTimeout,
		TLS:          s.options.TLS,
		Logger:       s.options.Logger,
	})
	if err != nil {
		drain()
		return err
	}
	upstream := emulator.NewUpstream(emulator.UpstreamOptions{Slots: s.options.Slots, Seed: uint64(i)})
	addr, err := s.serve(s.ctx, upstream)
	if err != nil {
		drain()
		return err
	}
	s.drainAgents = append(s.drainAgents, drain)
	s.Agents = append(s.Agents, a)
	s.Upstreams = append(s.Upstreams, upstream)
	s.upstreamAddrs = append(s.upstreamAddrs, addr)
	s.run(func() error { return a.Run(ctx) })
	s.run(func() error {
		return emulator.Announce(ctx, a.Addr(), invoker.Announcement{
			Address:     addr,
			Services:    s.services,
			Slots:       s.options.Slots,
			Connections: upstreamConnections,
			MemoryBytes: upstreamMemoryBytes,
			TimeToLive:  submitter.Duration(announcementTTL),
		})
	})
	return nil
}

// serve runs an HTTP server on loopback until the context ends.
func (s *System) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() { _ = server.Shutdown(context.Background()) })
	s.run(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *System) run(f func() error) {
	s.wg.Go(func() {
		if err := f(); err != nil {
			s.mu.Lock()
			s.errs = append(s.errs, err)
			s.mu.Unlock()
		}
	})
}

func dataCentre(i int) string { return "dc-" + strconv.Itoa(i%dataCentres) }
