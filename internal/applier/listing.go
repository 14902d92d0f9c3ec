package applier

import (
	"cmp"
	"slices"
)

// Merge joins what several entries know into one listing by process. Of a process
// that several have reported the highest version counts, and of one version the
// report that knew more. A process is behind if any of them knows a later
// version. The function returns the status within a row.
func Merge[T any](status func(*T) *Status, lists ...[]T) []T {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b T) int { return compareReports(status(&a), status(&b)) })
	all = slices.CompactFunc(all, func(a, b T) bool { return status(&a).Process == status(&b).Process })
	var highest uint64
	for i := range all {
		highest = max(highest, status(&all[i]).Highest)
	}
	for i := range all {
		s := status(&all[i])
		s.Highest = highest
		if s.State == StateCurrent && s.Version < highest {
			s.State = StateBehind
		}
	}
	return all
}

// compareReports orders by process and then puts the report first that counts.
func compareReports(a, b *Status) int {
	return cmp.Or(
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(b.Version, a.Version),
		cmp.Compare(rank(a.State), rank(b.State)),
	)
}

// rank orders the states of one version by how much their reporter knew.
func rank(s State) int { return slices.Index(States(), s) }
