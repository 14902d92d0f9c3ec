package cmd

import (
	"net/netip"
	"slices"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/dispatcher"
	"sardinelock.dev/sardinelock/internal/messenger"
)

func newEntryCommand() *cobra.Command {
	var (
		site    siteFlags
		tls     serverTLSFlags
		regions []string
	)
	s := dispatcher.Settings{
		CallerListen: netip.MustParseAddrPort("127.0.0.1:7400"),
		PeerListen:   netip.MustParseAddrPort("127.0.0.1:7401"),
		AdminListen:  netip.MustParseAddrPort("127.0.0.1:7402"),
		DrainNotice:  drainNotice,
		DrainTimeout: drainTimeout,
	}
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry, which accepts jobs from callers",
		Long: `Run an entry, which accepts jobs from callers.

Once it serves, it logs one JSON line with the event "ready" and its listen
addresses. After SIGTERM it finishes the requests in flight and exits with code 0.`,
		Example: `  sardinelock entry --platform 127.0.0.1:7500 --data-centre ub-1
  sardinelock entry --platform 127.0.0.1:7500 --region ub --regions ub,kw
  SARDINELOCK_PLATFORM=127.0.0.1:7500 sardinelock entry --caller-listen 127.0.0.1:0`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			problems := site.validate()
			if !s.Platform.IsValid() {
				problems = append(problems, "--platform must be set")
			}
			if s.DrainTimeout <= 0 {
				problems = append(problems, "--drain-timeout must be positive")
			} else if s.DrainNotice < 0 || s.DrainNotice >= s.DrainTimeout {
				problems = append(problems, "--drain-notice must be from 0s to less than --drain-timeout")
			}
			problems = append(problems, validateRegions(site.region, regions)...)
			problems = append(problems, tls.validate(s.CallerListen, s.PeerListen, s.AdminListen)...)
			if err := usageErrors(problems); err != nil {
				return err
			}
			var err error
			if s.TLS, err = tls.certifier(); err != nil {
				return err
			}
			s.Peer = newPeer(messenger.RoleEntry)
			s.Region = site.region
			s.DataCentre = site.dataCentre
			s.Limits = entryLimits()
			s.Limits.Regions = regions
			s.Logger = newLogger(site.logLevel)
			e, err := dispatcher.New(s)
			if err != nil {
				return err
			}
			defer reclaimGarbage()()
			return e.Run(c.Context())
		},
	}
	f := c.Flags()
	site.register(f)
	tls.register(f)
	f.StringVar(&s.Instance, "instance", "", "stable name of this entry, which stays the same when the process is replaced (default: data centre and peer address)")
	f.StringSliceVar(&regions, "regions", nil, "all regions, in the same order at every entry; the list must never change (default: only the region of this process)")
	f.Var(addrFlag{&s.CallerListen}, "caller-listen", "listen address for callers")
	f.Var(addrFlag{&s.PeerListen}, "peer-listen", "listen address for agents and other entries")
	f.Var(addrFlag{&s.AdminListen}, "admin-listen", "listen address for administration and metrics")
	f.Var(addrFlag{&s.Platform}, "platform", "address of the platform's services")
	f.Var(addrsFlag{&s.Entries}, "entry", "peer addresses of some entries, from which the configuration is read if the platform is down at the start")
	f.DurationVar(&s.DrainNotice, "drain-notice", s.DrainNotice, "how long a shutdown still accepts requests, so that the balancer notices /readyz and redirects them")
	f.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "how long a shutdown waits for requests in flight")
	return c
}

// validateRegions returns the problems of the list of all regions.
func validateRegions(own string, all []string) []string {
	if len(all) == 0 {
		return nil
	}
	var problems []string
	if !slices.Contains(all, own) {
		problems = append(problems, "--regions must have the region of this process, "+own)
	}
	for i, name := range all {
		if name == "" || slices.Contains(all[:i], name) {
			problems = append(problems, "--regions must have names that differ and are not empty")
			break
		}
	}
	return problems
}
