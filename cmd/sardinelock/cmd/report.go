package cmd

import "github.com/spf13/cobra"

func newReportCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "report",
		Short: "Report on what the system has done",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newReportBurnCommand())
	return c
}
