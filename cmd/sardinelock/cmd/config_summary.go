package cmd

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// statusCount is the number of processes of one role, data centre and version that
// are in one state.
type statusCount struct {
	Role       messenger.Role `json:"role"`
	DataCentre string         `json:"data-centre"`
	Version    uint64         `json:"version"`
	State      applier.State  `json:"state"`
	Processes  int            `json:"processes"`
}

// summarizeStatus prints the status counts, ordered by role with entries first, by
// data centre, and by version with the latest first.
func summarizeStatus(c *cobra.Command, admin *adminFlags) error {
	client, err := admin.client()
	if err != nil {
		return err
	}
	var l administrator.Listing[administrator.ConfigStatus]
	if err := client.Get(c.Context(), configPath, &l); err != nil {
		return err
	}
	printSilent(c.ErrOrStderr(), l.Silent)
	counts := countStatus(l.Items)
	rows := make([][]string, len(counts))
	for i, n := range counts {
		rows[i] = []string{
			string(n.Role), n.DataCentre, strconv.FormatUint(n.Version, 10), string(n.State), strconv.Itoa(n.Processes),
		}
	}
	return admin.output.print(c.OutOrStdout(), counts, []string{"ROLE", "DATA-CENTRE", "VERSION", "STATE", "PROCESSES"}, rows)
}

func countStatus(items []administrator.ConfigStatus) []statusCount {
	out := []statusCount{}
	index := make(map[statusCount]int)
	for _, s := range items {
		key := statusCount{Role: s.Role, DataCentre: s.DataCentre, Version: s.Version, State: s.State}
		i, ok := index[key]
		if !ok {
			i = len(out)
			index[key] = i
			out = append(out, key)
		}
		out[i].Processes++
	}
	slices.SortFunc(out, compareStatusCounts)
	return out
}

func compareStatusCounts(a, b statusCount) int {
	return cmp.Or(
		cmp.Compare(b.Role, a.Role),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(b.Version, a.Version),
		cmp.Compare(a.State, b.State),
	)
}
