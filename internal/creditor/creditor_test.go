package creditor

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

// TestDisconnectedEntryReturnsCredits checks that an entry's limit rises by the slots of
// a disconnected entry once the tasks of that entry have ended.
func TestDisconnectedEntryReturnsCredits(t *testing.T) {
	c := New(Limits{MinSlots: 1, QueueDepth: 2})
	c.SetSlots(8)
	c.EntryUp("a")
	c.EntryUp("b")
	for range 6 {
		c.Started("a")
	}
	if diff := cmp.Diff([]Grant{{"a", 10}, {"b", 4}}, c.PendingGrants()); diff != "" {
		t.Fatalf("limits (-want +got):\n%s", diff)
	}
	c.EntryDown("a")
	for range 6 {
		c.Ended("")
	}
	if diff := cmp.Diff([]Grant{{"b", 10}}, c.PendingGrants()); diff != "" {
		t.Fatalf("limits after the end of a (-want +got):\n%s", diff)
	}
}

// TestLimitsFollowOutstanding drives a creditor at random and checks the bounds of each
// limit: at least MinSlots plus QueueDepth, and at most the slots that others leave, or
// MinSlots, plus QueueDepth.
func TestLimitsFollowOutstanding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &model{c: New(Limits{MinSlots: 1, QueueDepth: 3}), outstanding: map[messenger.Peer]int{}}
		d.c.SetSlots(8)
		rt.Repeat(map[string]func(*rapid.T){"up": d.up, "start": d.start, "end": d.end, "": d.check})
	})
}

type model struct {
	c           *Creditor
	outstanding map[messenger.Peer]int
}

func entry(rt *rapid.T) messenger.Peer {
	return rapid.SampledFrom([]messenger.Peer{"a", "b", "c"}).Draw(rt, "entry")
}

func (d *model) up(rt *rapid.T) {
	if peer := entry(rt); d.c.share(peer) == nil {
		d.c.EntryUp(peer)
	}
}

func (d *model) start(rt *rapid.T) {
	peer := entry(rt)
	if s := d.c.share(peer); s != nil && d.outstanding[peer] < s.sentLimit {
		d.c.Started(peer)
		d.outstanding[peer]++
	}
}

func (d *model) end(rt *rapid.T) {
	if peer := entry(rt); d.outstanding[peer] > 0 {
		d.c.Ended(peer)
		d.outstanding[peer]--
	}
}

func (d *model) check(rt *rapid.T) {
	for _, g := range d.c.PendingGrants() {
		d.c.GrantSent(g)
		others := d.c.Outstanding() - d.outstanding[g.Entry]
		if g.Limit > max(8-others, 1)+3 || g.Limit < 1+3 {
			rt.Fatalf("%s has the limit %d while others have %d", g.Entry, g.Limit, others)
		}
	}
}
