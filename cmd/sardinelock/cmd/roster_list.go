package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newRosterListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "List the agents of the rosters and the partitions that wait for them",
		Long: `List the agents of the rosters and the partitions that wait for them.

WITNESS shows whether the agent is a witness of leases; "previous" means that it was
one and that some entry may still rely on it. FENCING is the number of partitions
without an active owner that wait for the agent, possibly among others: the agent
must answer or be declared dead. RECORDS is the number of partitions whose owner
lacks the agent's records and therefore answers older submissions "unknown". HEIR is
the agent that holds the records of an agent that has left after a clean shutdown.`,
		Example: `  sardinelock roster list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"AGENT", "REGION", "VERSION", "DATA-CENTRE", "RACK", "STATE", "WITNESS", "CONNECTED-TO", "FENCING", "RECORDS", "HEIR", "DECLARED"}
			return list(c, &admin, "/v1/admin/roster", header, rosterRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func rosterRow(a administrator.RosterAgent) []string {
	declared := ""
	if a.DeclaredAt != nil {
		declared = a.DeclaredAt.Format(time.RFC3339)
	}
	return []string{
		string(a.Peer), a.Region, strconv.FormatUint(a.Version, 10), a.DataCentre, a.Rack,
		string(a.State), string(a.Witness), strconv.Itoa(a.ConnectedTo),
		strconv.Itoa(a.Fencing), strconv.Itoa(a.Missing), string(a.Successor), declared,
	}
}
