package cmd

import "github.com/spf13/cobra"

func newEntriesDrainCommand() *cobra.Command {
	return entryChange("drain", &cobra.Command{
		Use:   "drain ENTRY",
		Short: "Ask the balancer to send an entry no requests",
		Long: `Ask the balancer to send an entry no requests: its /readyz answers 503 until
undrain. The entry still serves the requests that reach it and keeps its
partitions; it hands them over when it is stopped.`,
		Example: `  sardinelock entries drain entry-0 --admin 127.0.0.1:7402`,
	})
}
