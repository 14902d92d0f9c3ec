package cmd

import (
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newJobListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:     "list",
		Short:   "Count jobs by service, team and state",
		Example: `  sardinelock job list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"SERVICE", "TEAM", "OPEN", "ANSWERED", "WAITING-TASKS", "SENT-TASKS"}
			return list(c, &admin, "/v1/admin/jobs", header, func(u administrator.Usage) []string {
				return []string{
					u.Service, u.Team,
					strconv.Itoa(u.OpenJobs), strconv.Itoa(u.AnsweredJobs),
					strconv.Itoa(u.WaitingTasks), strconv.Itoa(u.SentTasks),
				}
			})
		},
	}
	admin.register(c.Flags())
	return c
}
