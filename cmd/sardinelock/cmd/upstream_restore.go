package cmd

import "github.com/spf13/cobra"

func newUpstreamRestoreCommand() *cobra.Command {
	u := &upstreamChange{action: "restore"}
	return u.command(&cobra.Command{
		Use:     "restore [UPSTREAM...]",
		Short:   "Return ejected upstreams to service",
		Example: `  sardinelock upstream restore agent-3 --admin 127.0.0.1:7402`,
	})
}
