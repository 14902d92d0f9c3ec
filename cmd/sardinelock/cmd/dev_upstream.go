package cmd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

func newDevUpstreamCommand() *cobra.Command {
	var (
		listen       = netip.MustParseAddrPort("127.0.0.1:0")
		agent        netip.AddrPort
		o            emulator.UpstreamOptions
		announcement invoker.Announcement
		timeToLive   time.Duration
	)
	c := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in for an upstream",
		Long: `Run a stand-in for an upstream, which announces itself to an agent.

The payload of a task is a JSON object whose "run-time" is the duration of the task.
Each start and each end of a task is written to standard output as one JSON line.`,
		Example: `  sardinelock dev upstream --agent 127.0.0.1:7410 --slots 8 --fail-ratio 0.01`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var problems []string
			if !agent.IsValid() {
				problems = append(problems, "--agent must be set")
			}
			if o.Slots < 1 {
				problems = append(problems, "--slots must be at least 1")
			}
			if o.FailRatio < 0 || o.FailRatio > 1 {
				problems = append(problems, "--fail-ratio must be from 0 to 1")
			}
			if o.AbortRatio < 0 || o.AbortRatio > 1 {
				problems = append(problems, "--tear-ratio must be from 0 to 1")
			}
			if o.DelayFactor <= 0 {
				problems = append(problems, "--delay-factor must be positive")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			o.Log = c.OutOrStdout()
			announcement.Slots = o.Slots
			announcement.TimeToLive = submitter.Duration(timeToLive)
			return runUpstream(c, listen, agent, announcement, o)
		},
	}
	f := c.Flags()
	f.Var(addrFlag{&listen}, "listen", "address to serve on")
	f.Var(addrFlag{&agent}, "agent", "address of the agent")
	f.StringSliceVar(&announcement.Services, "services", []string{"quote"}, "services to announce")
	f.IntVar(&o.Slots, "slots", 8, "true number of slots, which is also announced")
	f.IntVar(&announcement.Connections, "connections", 64, "connections to announce")
	f.Int64Var(&announcement.MemoryBytes, "memory-bytes", 32<<30, "memory to announce")
	f.IntVar(&announcement.Accelerators, "accelerators", 0, "accelerators to announce")
	f.DurationVar(&timeToLive, "time-to-live", 5*time.Second, "time to live (TTL) of an announcement")
	f.Float64Var(&o.FailRatio, "fail-ratio", 0, "share of tasks that fail")
	f.Float64Var(&o.AbortRatio, "tear-ratio", 0, "share of tasks whose connection is closed before or in the middle of the answer")
	f.Float64Var(&o.DelayFactor, "delay-factor", 1, "factor by which every run time is multiplied")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the failures")
	return c
}

// runUpstream serves and sends announcements until the command's context ends.
func runUpstream(c *cobra.Command, listen, agent netip.AddrPort, a invoker.Announcement, o emulator.UpstreamOptions) error {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	a.Address = l.Addr().(*net.TCPAddr).AddrPort()
	printReady(c, "upstream", l.Addr())
	server := &http.Server{Handler: emulator.NewUpstream(o), ReadHeaderTimeout: standInHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	// The last announcement may fail because the agent has already terminated.
	_ = emulator.Announce(c.Context(), agent, a)
	if err := server.Shutdown(context.Background()); err != nil {
		return errors.Trace(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
