package cmd

import "github.com/spf13/cobra"

func newEntriesDrainCommand() *cobra.Command {
	return entryChange("drain", &cobra.Command{
		Use:   "drain ENTRY",
		Short: "Let an entry hand over its partitions and send it no requests",
		Long: `Let an entry hand over its partitions and ask the balancer to send it no
requests: its /readyz answers 503 until undrain. The entry stays up, passes the
requests that still reach it on to the owners, and takes no partitions. What no
other entry of its region may take stays with it and is served; "entries list"
shows how many those are. The drain lasts while the process does: a restarted
entry has a new name and is not drained.`,
		Example: `  sardinelock entries drain entry-0 --admin 127.0.0.1:7402`,
	})
}
