package cmd

import (
	"net/url"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
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
		client, err := change.client()
		if err != nil {
			return err
		}
		made, err := client.Change(c.Context(), "/v1/admin/entries/"+url.PathEscape(args[0])+"/"+action, change.id())
		if err != nil {
			return err
		}
		return change.print(c, []administrator.Changed{made})
	}
	change.register(c.Flags())
	return c
}
