package cmd

import "github.com/spf13/cobra"

func newUpstreamEjectCommand() *cobra.Command {
	u := &upstreamChange{action: "eject"}
	return u.command(&cobra.Command{
		Use:   "eject [UPSTREAM...]",
		Short: "Take upstreams out by hand",
		Long: `Take upstreams out by hand, as if their tasks had failed. They get no probes:
the ejection lasts until restore.`,
		Example: `  sardinelock upstream eject agent-3 --admin 127.0.0.1:7402`,
	})
}
