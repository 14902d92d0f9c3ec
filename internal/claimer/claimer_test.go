package claimer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

// TestPreferredOwnersFollowLive checks that the cached owners equal those of
// PreferredOwner while the live entries change.
func TestPreferredOwnersFollowLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners PreferredOwners
		for range 5 {
			live := rapid.SliceOfNDistinct(rapid.SampledFrom([]messenger.Peer{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).Draw(t, "live")
			slices.Sort(live)
			for range 3 {
				p := identifier.Partition(rapid.IntRange(0, identifier.Partitions-1).Draw(t, "partition"))
				if got, want := owners.Owner(p, live), PreferredOwner(p, live); got != want {
					t.Fatalf("owner of %d among %v is %q, want %q", p, live, got, want)
				}
			}
		}
	})
}
