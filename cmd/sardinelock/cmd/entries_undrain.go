package cmd

import "github.com/spf13/cobra"

func newEntriesUndrainCommand() *cobra.Command {
	return entryChange("undrain", &cobra.Command{
		Use:     "undrain ENTRY",
		Short:   "Let a drained entry take requests again",
		Example: `  sardinelock entries undrain entry-0 --admin 127.0.0.1:7402`,
	})
}
