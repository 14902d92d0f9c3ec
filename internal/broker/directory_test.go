package broker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sardinelock.dev/sardinelock/internal/messenger"
)

func testAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7260)
}

var comparePorts = cmpopts.EquateComparable(netip.AddrPort{})

func TestDirectoryLists(t *testing.T) {
	var d directory
	d.connected("entry-2", testAddr(2))
	d.connected("entry-3", testAddr(3))
	d.disconnected("entry-3")
	d.connected("entry-3-restarted", testAddr(3))
	want := []messenger.EntryAddr{
		{Addr: testAddr(1), Connected: true}, {Addr: testAddr(2), Connected: true},
		{Addr: testAddr(3), Connected: true}, {Addr: testAddr(4)},
	}
	got := d.list(testAddr(1), []netip.AddrPort{testAddr(2), testAddr(4)})
	if diff := cmp.Diff(want, got, comparePorts); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want[1:3], d.takeAdded(), comparePorts); diff != "" {
		t.Errorf("added (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]messenger.EntryAddr(nil), d.takeAdded()); diff != "" {
		t.Errorf("added again (-want +got):\n%s", diff)
	}
}

// TestDirectoryAtStart counts the addresses that an entry sends while a fleet starts: a
// list for each connection, and each entry once to each connection that it has by then.
func TestDirectoryAtStart(t *testing.T) {
	for _, size := range []struct{ entries, agents int }{{3, 11}, {35, 160}, {100, 900}} {
		t.Run(fmt.Sprintf("%dx%d", size.entries, size.agents), func(t *testing.T) {
			var d directory
			sent, connections := 0, 0
			connect := func() {
				sent += len(d.list(testAddr(0), nil))
				connections++
			}
			// Agents connect first, so that each is sent every entry that connects later.
			for range size.agents {
				connect()
			}
			for i := 1; i < size.entries; i++ {
				connect()
				d.connected(messenger.Peer(fmt.Sprintf("entry-%d", i)), testAddr(i))
				sent += len(d.takeAdded()) * connections
			}
			t.Logf("%d addresses on %d connections", sent, connections)
			if most := connections * size.entries; sent > most {
				t.Errorf("%d addresses are sent, more than %d", sent, most)
			}
		})
	}
}

// TestNewAgentIsToldOfEntries checks that an agent that has not sent its first frame yet is told of
// an entry that connects. It would not dial that entry.
func TestNewAgentIsToldOfEntries(t *testing.T) {
	w := newAgentWorld(t)
	told := make(chan netip.AddrPort, 16)
	w.dialHandling("agent-1", func(f *messenger.Frame) {
		if f.Routes != nil {
			for _, e := range f.Routes.Entries {
				told <- e.Addr
			}
		}
	})
	want := netip.MustParseAddrPort("127.0.0.9:9")
	w.dialAsEntry("entry-2", want, func(*messenger.Frame) {})
	timeout := time.After(5 * time.Second)
	for {
		select {
		case addr := <-told:
			if addr == want {
				return
			}
		case <-timeout:
			t.Fatal("the agent was not told of the entry in 5 s")
		}
	}
}
