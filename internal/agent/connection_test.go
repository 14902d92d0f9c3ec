package agent

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/messenger"
)

func addr(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }

// TestSetRoutes checks that entries that are no longer listed are not dialled again,
// while addresses from the settings and connected ones stay.
func TestSetRoutes(t *testing.T) {
	a := &Agent{targets: map[netip.AddrPort]*target{
		addr("127.0.0.1:1"): {configured: true},
		addr("127.0.0.1:2"): {active: true},
		addr("127.0.0.1:3"): {},
	}}
	a.setRoutes([]messenger.EntryAddr{{Peer: "entry-4", Addr: addr("127.0.0.1:4")}})
	got := slices.SortedFunc(maps.Keys(a.targets), netip.AddrPort.Compare)
	want := []netip.AddrPort{addr("127.0.0.1:1"), addr("127.0.0.1:2"), addr("127.0.0.1:4")}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(x, y netip.AddrPort) bool { return x == y })); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// TestRedialBacksOff checks that the backoff before the next dial grows with failures
// up to its bound, and is reset by a connection.
func TestRedialBacksOff(t *testing.T) {
	at := addr("127.0.0.1:1")
	a := &Agent{targets: map[netip.AddrPort]*target{at: {active: true}}}
	now := time.Unix(1_700_000_000, 0)
	for failure := range 10 {
		a.scheduleRedial(now, at, false)
		mean := min(minRedialDelay<<failure, maxRedialDelay)
		if pause := a.targets[at].nextDial.Sub(now); pause < mean/2 || pause > mean*3/2 {
			t.Errorf("after failure %d the backoff is %s, want %s to %s", failure, pause, mean/2, mean*3/2)
		}
	}
	a.scheduleRedial(now, at, true)
	if pause := a.targets[at].nextDial.Sub(now); pause > minRedialDelay*3/2 {
		t.Errorf("after a connection the backoff is %s, want at most %s", pause, minRedialDelay*3/2)
	}
}
