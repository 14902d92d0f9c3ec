package cmd

import "github.com/spf13/cobra"

func newUpstreamDrainCommand() *cobra.Command {
	u := &upstreamChange{action: "drain"}
	return u.command(&cobra.Command{
		Use:   "drain [UPSTREAM...]",
		Short: "Give upstreams no new work",
		Long: `Give upstreams no new work. What runs there is finished. The drain lasts until
undrain, also when entries restart. A restarted agent is a new upstream and is
not drained.`,
		Example: `  sardinelock upstream drain agent-3 --admin 127.0.0.1:7402
  sardinelock upstream drain --data-centre ub-1 --rack r3 --admin 127.0.0.1:7402`,
	})
}
