package applier

import (
	"cmp"
	"slices"
)

// compareStatus orders by role and name; entries come before agents.
func compareStatus(a, b Status) int {
	return cmp.Or(cmp.Compare(b.Role, a.Role), cmp.Compare(a.Process, b.Process))
}

// Merge joins what several entries know into one listing. Of a process that
// several have reported the highest version counts, and of one version the
// report that says more.
func Merge(lists ...[]Status) []Status {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Status) int {
		return cmp.Or(compareStatus(a, b), cmp.Compare(b.Version, a.Version), cmp.Compare(rank(a.State), rank(b.State)))
	})
	all = slices.CompactFunc(all, func(a, b Status) bool { return a.Process == b.Process })
	for i := range all {
		all[i].Highest = highestOf(all)
		if all[i].State == StateCurrent && all[i].Version < all[i].Highest {
			all[i].State = StateBehind
		}
	}
	return all
}

func highestOf(list []Status) uint64 {
	var highest uint64
	for _, s := range list {
		highest = max(highest, s.Highest)
	}
	return highest
}

// rank orders the states of one version by how much their reporter knew.
func rank(s State) int {
	return slices.Index([]State{StateCurrent, StateBehind, StateUnconfirmed, StateNone}, s)
}
