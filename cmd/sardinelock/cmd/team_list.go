package cmd

import (
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newTeamListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:     "list",
		Short:   "List teams with their usage against quota",
		Example: `  sardinelock team list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"TEAM", "SLOTS-USED", "SLOTS-QUOTA", "STARTS-QUOTA", "OPEN-JOBS", "WAITING-TASKS", "TOKENS"}
			return list(c, &admin, "/v1/admin/teams", header, teamRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func teamRow(t administrator.TeamRow) []string {
	slots, starts := "none", "none"
	if t.Slots > 0 {
		slots = strconv.Itoa(t.Slots)
	}
	if t.StartsPerSecond > 0 {
		starts = strconv.FormatFloat(t.StartsPerSecond, 'g', -1, 64) + "/s"
	}
	return []string{
		t.Name, strconv.Itoa(t.SentTasks), slots, starts,
		strconv.Itoa(t.OpenJobs), strconv.Itoa(t.WaitingTasks), strconv.Itoa(t.Tokens),
	}
}
