package cmd

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/reporter"
)

func newReportBurnCommand() *cobra.Command {
	var (
		admin   adminFlags
		service string
		window  time.Duration
	)
	c := &cobra.Command{
		Use:   "burn",
		Short: "Report the burn rates of the services' error budgets",
		Long: `Report the burn rates of the services' error budgets, the highest first.

A burn rate of 1 consumes the budget in exactly its window. The level is "page" if
the rate is above 14.4 over both 5 minutes and 1 hour, and "ticket" if it is above 6
over both 30 minutes and 6 hours. Both levels also require at least min-bad-jobs of
the objective in the shorter window. BUDGET-LEFT and CAUSES are counted over
--window. Data that is missing from the report is listed on standard error.`,
		Example: `  sardinelock report burn --admin 127.0.0.1:7402
  sardinelock report burn --admin 127.0.0.1:7402 --service quote --window 6h
  sardinelock report burn --admin 127.0.0.1:7402 --output html > burn.html`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := admin.client()
			if err != nil {
				return err
			}
			query := "?" + url.Values{"service": {service}, "window": {window.String()}}.Encode()
			if admin.output.format == outputHTML {
				page, err := client.Text(c.Context(), "/burn"+query)
				if err != nil {
					return err
				}
				_, err = c.OutOrStdout().Write(page)
				return errors.Trace(err)
			}
			var report reporter.Report
			if err := client.Get(c.Context(), "/v1/admin/burn"+query, &report); err != nil {
				return err
			}
			if admin.output.format == outputJSON {
				return printJSON(c.OutOrStdout(), report)
			}
			return printBurn(c, &report)
		},
	}
	f := c.Flags()
	admin.register(f, outputHTML)
	f.StringVar(&service, "service", "", "report only on this service")
	f.DurationVar(&window, "window", reporter.MaxWindow, "time window over which budgets and causes are counted")
	return c
}

func printBurn(c *cobra.Command, r *reporter.Report) error {
	for _, m := range r.Missing {
		text := m.Entry + ": " + m.Detail
		if m.Age > 0 {
			text += " (" + time.Duration(m.Age).String() + " old)"
		}
		fmt.Fprintln(c.ErrOrStderr(), "not whole:", text)
	}
	header := []string{"SERVICE", "OBJECTIVE", "LEVEL", "BUDGET-LEFT", "5M", "30M", "1H", "6H", "JOBS", "BAD", "CAUSES"}
	rows := make([][]string, len(r.Objectives))
	for i := range r.Objectives {
		rows[i] = burnRow(&r.Objectives[i])
	}
	return printTable(c.OutOrStdout(), header, rows)
}

func burnRow(b *reporter.Burn) []string {
	objective := percentText(b.Target) + " complete"
	if b.Objective == reporter.ObjectiveLatency {
		objective = percentText(b.Target) + " within " + time.Duration(b.Latency).String()
	}
	row := []string{b.Service, objective, string(b.Level), fmt.Sprintf("%.1f%%", b.BudgetLeft*100)}
	for _, rate := range b.Rates {
		row = append(row, fmt.Sprintf("%.2f", rate.Burn))
	}
	var causes []string
	for _, cause := range b.Causes {
		causes = append(causes, fmt.Sprintf("%s %d", cause.Reason, cause.Count))
	}
	return append(row, fmt.Sprint(b.Jobs), fmt.Sprint(b.Bad), strings.Join(causes, ", "))
}
