package cmd

import "github.com/spf13/cobra"

func newDataCentreEvacuateCommand() *cobra.Command {
	return dataCentreChange("evacuate", &cobra.Command{
		Use:   "evacuate DATA-CENTRE",
		Short: "Send no new tasks to the upstreams of a data centre",
		Long: `Send no new tasks to the upstreams of a data centre. Running tasks finish. Jobs
that no other upstream can run are refused as "no-upstream". The evacuation lasts until
"data-centre return", even if entries restart, and includes agents that start later.
Entries in the data centre keep running; see "entries drain".`,
		Example: `  sardinelock data-centre evacuate ub-1 --admin 127.0.0.1:7402
  sardinelock data-centre evacuate ub-1 --allow-unknown --admin 127.0.0.1:7402`,
	})
}
