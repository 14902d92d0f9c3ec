package cmd

import "github.com/spf13/cobra"

func newReportCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "report",
		Short: "Report on the past work of the system",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newReportBurnCommand())
	return c
}
