package cmd

import "github.com/spf13/cobra"

func newUpstreamEjectCommand() *cobra.Command {
	u := &upstreamChange{action: "eject"}
	return u.command(&cobra.Command{
		Use:   "eject [UPSTREAM...]",
		Short: "Eject upstreams manually",
		Long: `Eject upstreams manually, as if their tasks had failed. Such upstreams get no
probes: the ejection lasts until "upstream restore".`,
		Example: `  sardinelock upstream eject agent-3 --admin 127.0.0.1:7402`,
	})
}
