package cmd

import (
	"net/netip"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/agent"
	"sardinelock.dev/sardinelock/internal/messenger"
)

func newAgentCommand() *cobra.Command {
	var (
		site siteFlags
		tls  serverTLSFlags
	)
	s := agent.Settings{
		Listen:       netip.MustParseAddrPort("127.0.0.1:7410"),
		DrainTimeout: drainTimeout,
	}
	c := &cobra.Command{
		Use:   "agent",
		Short: "Run an agent, which manages one upstream",
		Long: `Run an agent, which manages one upstream.

The upstream announces itself to the agent over HTTP on --listen. The agent
learns the addresses of all entries from those given with --entry.`,
		Example: `  sardinelock agent --entry 127.0.0.1:7401 --data-centre ub-1 --rack r3`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			problems := site.validate()
			if len(s.Entries) == 0 {
				problems = append(problems, "--entry must be set")
			}
			if s.DrainTimeout <= 0 {
				problems = append(problems, "--drain-timeout must be positive")
			}
			problems = append(problems, tls.validate(s.Listen)...)
			if err := usageErrors(problems); err != nil {
				return err
			}
			var err error
			if s.TLS, err = tls.certifier(); err != nil {
				return err
			}
			s.Peer = newPeer(messenger.RoleAgent)
			s.Region = site.region
			s.DataCentre = site.dataCentre
			s.Limits = agentLimits()
			s.Logger = newLogger(site.logLevel)
			a, err := agent.New(s)
			if err != nil {
				return err
			}
			defer reclaimGarbage()()
			return a.Run(c.Context())
		},
	}
	f := c.Flags()
	site.register(f)
	tls.register(f)
	f.StringVar(&s.Rack, "rack", "default", "rack of this process")
	f.Var(addrFlag{&s.Listen}, "listen", "listen address for announcements of the upstream")
	f.Var(addrsFlag{&s.Entries}, "entry", "peer addresses of some entries")
	f.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "how long a shutdown waits for running tasks to finish")
	return c
}
