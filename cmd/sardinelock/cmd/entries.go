package cmd

import (
	"net/url"

	"github.com/spf13/cobra"
)

// newEntriesCommand returns the command "entries". Its name is a plural because the
// command "entry" runs an entry.
func newEntriesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "entries",
		Short: "List and drain entries",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newEntriesListCommand(), newEntriesDrainCommand(), newEntriesUndrainCommand())
	return c
}

// entryChange completes a command that applies an action to one entry.
func entryChange(action string, c *cobra.Command) *cobra.Command {
	var change changeFlags
	c.Args = cobra.ExactArgs(1)
	c.RunE = func(c *cobra.Command, args []string) error {
		return change.make(c, "/v1/admin/entries/"+url.PathEscape(args[0])+"/"+action)
	}
	change.register(c.Flags())
	return c
}
