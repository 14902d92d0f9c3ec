package cmd

import "github.com/spf13/cobra"

func newUpstreamRestoreCommand() *cobra.Command {
	u := &upstreamChange{action: "restore"}
	return u.command(&cobra.Command{
		Use:     "restore [UPSTREAM...]",
		Short:   "Let ejected upstreams work again",
		Example: `  sardinelock upstream restore agent-3 --admin 127.0.0.1:7402`,
	})
}
