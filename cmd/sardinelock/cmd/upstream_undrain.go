package cmd

import "github.com/spf13/cobra"

func newUpstreamUndrainCommand() *cobra.Command {
	u := &upstreamChange{action: "undrain"}
	return u.command(&cobra.Command{
		Use:     "undrain [UPSTREAM...]",
		Short:   "Return drained upstreams to service",
		Example: `  sardinelock upstream undrain agent-3 --admin 127.0.0.1:7402`,
	})
}
