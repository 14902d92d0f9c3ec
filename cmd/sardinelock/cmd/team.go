package cmd

import "github.com/spf13/cobra"

func newTeamCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "team",
		Short: "Show teams",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newTeamListCommand())
	return c
}
