package creditor

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestDeadEntryReturnsCredits holds that the others' limits rise at once by what a
// dead entry had waiting, and by the rest as its tasks end.
func TestDeadEntryReturnsCredits(t *testing.T) {
	c := New(Limits{Floor: 1, Depth: 2})
	c.SetSlots(8)
	c.EntryUp("a")
	c.EntryUp("b")
	for range 6 {
		c.Started("a")
	}
	if diff := cmp.Diff([]Grant{{"a", 10}, {"b", 4}}, c.Divide()); diff != "" {
		t.Fatalf("limits (-want +got):\n%s", diff)
	}
	c.EntryDown("a")
	for range 6 {
		c.Ended("")
	}
	if diff := cmp.Diff([]Grant{{"b", 10}}, c.Divide()); diff != "" {
		t.Fatalf("limits after the end of a (-want +got):\n%s", diff)
	}
}

// TestLimitsFollowOutstanding drives a creditor at random. An entry's limit and
// what the others have outstanding never exceed slots, floor and depth together.
func TestLimitsFollowOutstanding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New(Limits{Floor: 1, Depth: 3})
		c.SetSlots(8)
		outstanding := map[messenger.Peer]int{}
		draw := func(rt *rapid.T) messenger.Peer {
			return rapid.SampledFrom([]messenger.Peer{"a", "b", "c"}).Draw(rt, "entry")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"up": func(rt *rapid.T) {
				if peer := draw(rt); c.share(peer) == nil {
					c.EntryUp(peer)
				}
			},
			"start": func(rt *rapid.T) {
				peer := draw(rt)
				if s := c.share(peer); s != nil && outstanding[peer] < s.told {
					c.Started(peer)
					outstanding[peer]++
				}
			},
			"end": func(rt *rapid.T) {
				if peer := draw(rt); outstanding[peer] > 0 {
					c.Ended(peer)
					outstanding[peer]--
				}
			},
			"": func(rt *rapid.T) {
				for _, g := range c.Divide() {
					c.Told(g)
					others := c.Outstanding() - outstanding[g.Entry]
					if g.Limit > max(8-others, 1)+3 || g.Limit < 1+3 {
						rt.Fatalf("%s has the limit %d while others have %d", g.Entry, g.Limit, others)
					}
				}
			},
		})
	})
}
