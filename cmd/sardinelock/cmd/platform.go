package cmd

import (
	"context"
	"net/netip"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/platform"
)

func newPlatformCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a process on the users' platform",
	}
	var announce netip.AddrPort
	entry := newPlatformRoleCommand("entry", "Run an entry on the users' platform",
		func(ctx context.Context, s platform.Settings, logLevel string) error {
			s.PeerAnnounce = announce
			return platform.RunEntry(ctx, s, logLevel)
		})
	entry.Flags().Var(addrFlag{&announce}, "announce-address", "address at which agents and other entries reach this one, if it listens at another, such as behind address translation")
	c.AddCommand(entry, newPlatformRoleCommand("agent", "Run an agent on the users' platform", platform.RunAgent))
	return c
}

func newPlatformRoleCommand(role, short string, run func(context.Context, platform.Settings, string) error) *cobra.Command {
	var logLevel string
	var metricsPort uint16
	c := &cobra.Command{
		Use:   role,
		Short: short,
		Long: short + `.

The settings are read from the file that the platform names in the environment.`,
		Example: "  sardinelock platform " + role + " --log-level info",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := usageErrors(validateLogLevel(logLevel)); err != nil {
				return err
			}
			s, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			if metricsPort > 0 {
				s.MetricsListen = netip.AddrPortFrom(s.PeerListen.Addr(), metricsPort)
			}
			return run(c.Context(), s, logLevel)
		},
	}
	c.Flags().StringVar(&logLevel, "log-level", "info", "minimum log level: debug, info, warn or error")
	c.Flags().Uint16Var(&metricsPort, "metrics-port", defaultMetricsPort, "port on which /metrics is served; 0 disables it")
	return c
}

// defaultMetricsPort is the default port of OpenTelemetry's Prometheus exporters.
const defaultMetricsPort = 9464
