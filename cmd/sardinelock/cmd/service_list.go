package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newServiceListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:     "list",
		Short:   "List services with their objectives and current work",
		Example: `  sardinelock service list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"SERVICE", "PATH", "TIMEOUT", "LATENCY", "SUCCESS", "OPEN-JOBS", "WAITING-TASKS", "SENT-TASKS"}
			return list(c, &admin, "/v1/admin/services", header, serviceRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func serviceRow(s administrator.ServiceRow) []string {
	return []string{
		s.Name, s.Path, time.Duration(s.Timeout).String(),
		percentText(s.LatencyRatio) + " within " + time.Duration(s.Latency).String(),
		percentText(s.SuccessRatio),
		strconv.Itoa(s.OpenJobs), strconv.Itoa(s.WaitingTasks), strconv.Itoa(s.SentTasks),
	}
}

func percentText(ratio float64) string {
	return strconv.FormatFloat(ratio*100, 'g', 6, 64) + "%"
}
