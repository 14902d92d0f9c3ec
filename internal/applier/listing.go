package applier

import (
	"cmp"
	"slices"
)

// Merge combines the listings of several entries into one, sorted by process. If several
// entries report a process, the report with the highest version is kept, and among
// those the one with the best informed state. A process whose version is below the
// highest of any report is behind. The status function returns the status within a row.
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

// compareReports orders reports by process, and those of one process by preference.
func compareReports(a, b *Status) int {
	return cmp.Or(
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(b.Version, a.Version),
		cmp.Compare(rank(a.State), rank(b.State)),
	)
}

// rank orders states by how well the reporter was informed, the best first.
func rank(s State) int { return slices.Index(States(), s) }
