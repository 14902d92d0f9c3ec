package cmd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newDataCentreListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "List data centres and which of them are evacuated",
		Long: `List the data centres of entries and upstreams, and those that are evacuated.

HELD-BY is the number of entries at which the evacuation is in force, of those that
answered. SINCE and BY are when it was requested and by whom. UPSTREAMS is the largest
number of upstreams there to which one entry is connected. OUTSTANDING is the number of
tasks at these upstreams.`,
		Example: `  sardinelock data-centre list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"DATA-CENTRE", "HOLD", "HELD-BY", "SINCE", "BY", "ENTRIES", "UPSTREAMS", "OUTSTANDING"}
			return list(c, &admin, "/v1/admin/data-centres", header, dataCentreRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func dataCentreRow(d administrator.DataCentre) []string {
	heldBy, since := "", ""
	if d.Hold != "" {
		heldBy = fmt.Sprintf("%d of %d", d.HeldBy, d.SeenBy)
		since = d.At.Format(time.RFC3339)
	}
	return []string{
		d.Name, string(d.Hold), heldBy, since, d.By,
		strconv.Itoa(d.Entries), strconv.Itoa(d.Upstreams), strconv.Itoa(d.Outstanding),
	}
}
