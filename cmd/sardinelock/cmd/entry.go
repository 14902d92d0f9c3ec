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
		secure  serverTLSFlags
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
		Short: "Run an entry, which takes jobs from callers",
		Long: `Run an entry, which takes jobs from callers.

It prints one JSON line with the event "ready" and the bound addresses once it
serves. SIGTERM lets it finish what is in flight and exit with code 0.`,
		Example: `  sardinelock entry --platform 127.0.0.1:7500 --data-centre ub-1
  sardinelock entry --platform 127.0.0.1:7500 --region ub --regions ub,kw
  SARDINELOCK_PLATFORM=127.0.0.1:7500 sardinelock entry --caller-listen 127.0.0.1:0`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			faults := site.faults()
			if !s.Platform.IsValid() {
				faults = append(faults, "--platform must be set")
			}
			if s.DrainTimeout <= 0 {
				faults = append(faults, "--drain-timeout must be positive")
			} else if s.DrainNotice < 0 || s.DrainNotice >= s.DrainTimeout {
				faults = append(faults, "--drain-notice must be from 0s to less than --drain-timeout")
			}
			faults = append(faults, regionFaults(site.region, regions)...)
			faults = append(faults, secure.faults(s.CallerListen, s.PeerListen, s.AdminListen)...)
			if err := usageFaults(faults); err != nil {
				return err
			}
			var err error
			if s.TLS, err = secure.certifier(); err != nil {
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
	secure.register(f)
	f.StringVar(&s.Instance, "instance", "", "name of the place of this entry, which its successor has as well (default: data centre and peer address)")
	f.StringSliceVar(&regions, "regions", nil, "all regions, in the same order at every entry; it never changes (default: that of this process alone)")
	f.Var(addrFlag{&s.CallerListen}, "caller-listen", "address for callers")
	f.Var(addrFlag{&s.PeerListen}, "peer-listen", "address for agents and other entries")
	f.Var(addrFlag{&s.AdminListen}, "admin-listen", "address for administration and metrics")
	f.Var(addrFlag{&s.Platform}, "platform", "address of the platform's services")
	f.Var(addrsFlag{&s.Entries}, "entry", "peer addresses of some entries, for the configuration if the platform is down at the start")
	f.DurationVar(&s.DrainNotice, "drain-notice", s.DrainNotice, "how long a shutdown still takes requests, so that the balancer sees /readyz and sends them elsewhere")
	f.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "how long a shutdown waits for requests in flight")
	return c
}

// regionFaults reports what is wrong with the list of all regions.
func regionFaults(own string, all []string) []string {
	if len(all) == 0 {
		return nil
	}
	var faults []string
	if !slices.Contains(all, own) {
		faults = append(faults, "--regions must have the region of this process, "+own)
	}
	for i, name := range all {
		if name == "" || slices.Contains(all[:i], name) {
			faults = append(faults, "--regions must have names that differ and are not empty")
			break
		}
	}
	return faults
}
