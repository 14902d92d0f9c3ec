package cmd

import "github.com/spf13/cobra"

func newRosterCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "roster",
		Short: "Show the rosters of agents and declare agents dead",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newRosterListCommand(), newRosterDeclareDeadCommand())
	return c
}
