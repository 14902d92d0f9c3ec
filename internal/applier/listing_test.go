package applier

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestMerge merges the listings of two entries, one of which has not received the latest
// version.
func TestMerge(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	status := func(p messenger.Peer, r messenger.Role, s State, version, highest uint64) Status {
		return Status{Process: p, Role: r, State: s, Version: version, Highest: highest, Since: now}
	}
	got := Merge(func(s *Status) *Status { return s },
		[]Status{
			status("e1", messenger.RoleEntry, StateCurrent, 4, 4),
			status("a1", messenger.RoleAgent, StateCurrent, 4, 4),
			status("a2", messenger.RoleAgent, StateUnconfirmed, 5, 5),
		},
		[]Status{
			status("e2", messenger.RoleEntry, StateCurrent, 5, 5),
			status("a1", messenger.RoleAgent, StateCurrent, 5, 5),
			status("a2", messenger.RoleAgent, StateCurrent, 5, 5),
		},
	)
	want := []Status{
		status("a1", messenger.RoleAgent, StateCurrent, 5, 5),
		status("a2", messenger.RoleAgent, StateCurrent, 5, 5),
		status("e1", messenger.RoleEntry, StateBehind, 4, 5),
		status("e2", messenger.RoleEntry, StateCurrent, 5, 5),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("merged (-want +got):\n%s", diff)
	}
}
