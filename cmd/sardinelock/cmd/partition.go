package cmd

import "github.com/spf13/cobra"

func newPartitionCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "partition",
		Short: "Look at partitions",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newPartitionListCommand())
	return c
}
