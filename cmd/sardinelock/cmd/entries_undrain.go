package cmd

import "github.com/spf13/cobra"

func newEntriesUndrainCommand() *cobra.Command {
	return entryChange("undrain", &cobra.Command{
		Use:   "undrain ENTRY",
		Short: "Return a drained entry to service",
		Long: `Return a drained entry to service: its /readyz answers 200, and the other entries
hand over to it the partitions that it should own.`,
		Example: `  sardinelock entries undrain entry-0 --admin 127.0.0.1:7402`,
	})
}
