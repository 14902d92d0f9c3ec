package cmd

import "github.com/spf13/cobra"

func newEntriesDrainCommand() *cobra.Command {
	return entryChange("drain", &cobra.Command{
		Use:   "drain ENTRY",
		Short: "Hand over the partitions of an entry and send it no requests",
		Long: `Hand over the partitions of an entry and tell the balancer to send it no
requests: /readyz of the entry answers 503 until "entries undrain". The entry keeps
running, forwards the requests that still reach it to the owners of their
partitions, and takes over no partitions. Partitions that no other entry of its
region may take stay with the entry, which keeps serving them; "entries list" shows
how many there are. The drain ends with the process: a restarted entry has a new
name and is not drained.`,
		Example: `  sardinelock entries drain entry-0 --admin 127.0.0.1:7402`,
	})
}
