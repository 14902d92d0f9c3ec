package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigHistoryCommand() *cobra.Command {
	var (
		source versionSource
		limit  int
		output outputFlag
	)
	c := &cobra.Command{
		Use:   "history",
		Short: "List the accepted versions, the newest first",
		Long: `List the accepted versions, the newest first.

The latest 64 versions are stored in the platform's table, older ones in its object
store. All of them can be compared and rolled back to.`,
		Example: `  sardinelock config history --admin 127.0.0.1:7402 --limit 5`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			problems := source.choose(c)
			if limit < 1 {
				problems = append(problems, "--limit must be at least 1")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			v, err := source.versions()
			if err != nil {
				return err
			}
			heads, err := v.history(c.Context(), limit)
			if err != nil {
				return err
			}
			return output.print(c.OutOrStdout(), heads, []string{"VERSION", "AT", "OPERATOR", "CHANGE", "ROLLBACK-TO", "COMMENT"}, headRows(heads))
		},
	}
	f := c.Flags()
	source.register(f)
	f.IntVar(&limit, "limit", 20, "number of versions to list")
	output.register(f)
	return c
}

func headRows(heads []configurer.Head) [][]string {
	rows := make([][]string, len(heads))
	for i, h := range heads {
		var at, rollback string
		if !h.At.IsZero() {
			at = h.At.Format(time.RFC3339)
		}
		if h.RollbackTo > 0 {
			rollback = strconv.FormatUint(h.RollbackTo, 10)
		}
		rows[i] = []string{strconv.FormatUint(h.Number, 10), at, h.Operator, h.ChangeID, rollback, h.Comment}
	}
	return rows
}
