package cmd

import "github.com/spf13/cobra"

func newUpstreamDrainCommand() *cobra.Command {
	u := &upstreamChange{action: "drain"}
	return u.command(&cobra.Command{
		Use:   "drain [UPSTREAM...]",
		Short: "Send no new tasks to upstreams",
		Long: `Send no new tasks to upstreams. Running tasks finish. The drain lasts until
"upstream undrain", even if entries restart. A restarted agent is a new upstream
and is not drained.`,
		Example: `  sardinelock upstream drain agent-3 --admin 127.0.0.1:7402
  sardinelock upstream drain --data-centre ub-1 --rack r3 --admin 127.0.0.1:7402`,
	})
}
