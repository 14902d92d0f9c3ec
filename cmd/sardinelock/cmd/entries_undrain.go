package cmd

import "github.com/spf13/cobra"

func newEntriesUndrainCommand() *cobra.Command {
	return entryChange("undrain", &cobra.Command{
		Use:   "undrain ENTRY",
		Short: "Let a drained entry take requests and partitions again",
		Long: `Let a drained entry take requests and partitions again: its /readyz answers 200,
and the other entries hand it the partitions that it should own.`,
		Example: `  sardinelock entries undrain entry-0 --admin 127.0.0.1:7402`,
	})
}
