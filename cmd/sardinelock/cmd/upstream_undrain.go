package cmd

import "github.com/spf13/cobra"

func newUpstreamUndrainCommand() *cobra.Command {
	u := &upstreamChange{action: "undrain"}
	return u.command(&cobra.Command{
		Use:     "undrain [UPSTREAM...]",
		Short:   "Give drained upstreams work again",
		Example: `  sardinelock upstream undrain agent-3 --admin 127.0.0.1:7402`,
	})
}
