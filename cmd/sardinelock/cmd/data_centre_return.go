package cmd

import "github.com/spf13/cobra"

func newDataCentreReturnCommand() *cobra.Command {
	return dataCentreChange("return", &cobra.Command{
		Use:   "return DATA-CENTRE",
		Short: "Return an evacuated data centre to service",
		Long: `Return an evacuated data centre to service. Upstreams that are drained or ejected
by name remain so.`,
		Example: `  sardinelock data-centre return ub-1 --admin 127.0.0.1:7402`,
	})
}
