package cmd

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// awaitTrue waits until a condition holds.
func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not in time", what)
		}
	}
}

// startsInDataCentre runs jobs at entries and returns the number of tasks that have
// started at upstreams of dc-0 since the start of the system.
func startsInDataCentre(t *testing.T, system *launcher.System, entries ...int) int {
	t.Helper()
	const jobs = 20
	for _, i := range entries {
		o := submitter.Options{Entries: []netip.AddrPort{system.Entries[i].CallerAddr()}}
		if diff := cmp.Diff(map[submitter.Outcome]int{submitter.OutcomeComplete: jobs}, submitAll(t, o, jobs)); diff != "" {
			t.Errorf("outcomes at entry %d (-want +got):\n%s", i, diff)
		}
	}
	starts := 0
	for i := 0; i < len(system.Upstreams); i += 3 {
		total, _ := system.Upstreams[i].Starts()
		starts += total
	}
	return starts
}

// TestEvacuation evacuates a data centre through the API. No task may start there, also
// at an agent that connects later, at an entry that restarts, and while the platform is
// down. A change without the platform must have no effect.
func TestEvacuation(t *testing.T) {
	const id = "0193b1c0-0000-7000-8000-000000000001"
	system := newSystem(t, launcher.Options{Entries: 2, Agents: 3})
	client := administrator.NewClient(administrator.ClientOptions{Addrs: system.AdminAddrs()[:1], HTTP: http.DefaultClient})
	change := func(action, id string, want administrator.Changed, wantKind administrator.Kind) {
		t.Helper()
		got, err := client.Change(t.Context(), "/v1/admin/data-centres/dc-0/"+action, id)
		if kind := administrator.KindOf(err); kind != wantKind || got.Detail != want.Detail || got.Repeated != want.Repeated {
			t.Errorf("%s: got %+v, %v", action, got, err)
		}
	}
	expectStarts := func(want int, entries ...int) {
		t.Helper()
		if got := startsInDataCentre(t, system, entries...); got != want {
			t.Errorf("%d tasks started in the data centre, want %d", got, want)
		}
	}
	result := func(detail string) administrator.Changed {
		return administrator.Changed{Record: administrator.Record{Detail: detail}}
	}
	repeated := result("now evacuated")
	repeated.Repeated = true

	change("return", "", result("was not held"), "")
	system.Platform.SetFaults(emulator.Faults{Down: true})
	change("evacuate", id, result(""), administrator.KindRejected)
	before := startsInDataCentre(t, system)
	if before == startsInDataCentre(t, system, 0, 1) {
		t.Error("no task started in the data centre after an evacuation that was refused")
	}
	system.Platform.SetFaults(emulator.Faults{})

	change("evacuate", id, result("now evacuated"), "")
	change("evacuate", id, repeated, "")
	starts := startsInDataCentre(t, system)
	if err := system.AddAgent(); err != nil { // agent-3 in dc-0
		t.Fatal(err)
	}
	awaitTrue(t, "agent-3", func() bool { return system.Entries[0].Serving(4) && system.Entries[1].Serving(4) })
	expectStarts(starts, 0, 1)
	if err := system.KillEntry(1); err != nil {
		t.Fatal(err)
	}
	if err := system.AddEntry(); err != nil {
		t.Fatal(err)
	}
	awaitTrue(t, "entry-2", func() bool { return system.Entries[0].Serving(4) && system.Entries[2].Serving(4) })
	expectStarts(starts, 0, 2)

	system.Platform.SetFaults(emulator.Faults{Down: true})
	change("return", "", result(""), administrator.KindRejected)
	expectStarts(starts, 0, 2)
	system.Platform.SetFaults(emulator.Faults{})
	change("return", "", result("no longer evacuated"), "")
	if starts == startsInDataCentre(t, system, 0, 2) {
		t.Error("no task started in the data centre after its return")
	}
}

// TestHoldsBeforePartitions starts an entry on a platform that refuses to list the holds.
// The entry must own no partition: it could start tasks in an evacuated data centre.
func TestHoldsBeforePartitions(t *testing.T) {
	platform := emulator.NewPlatform(1, emulator.Faults{})
	var allowed atomic.Bool
	var refused atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("prefix") == administrator.HoldPrefix && !allowed.Load() {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		platform.Handler().ServeHTTP(w, r)
	}))
	defer server.Close()
	e := startLateEntry(t, &launcher.System{PlatformAddr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	client := administrator.NewClient(administrator.ClientOptions{Addrs: []netip.AddrPort{e.AdminAddr()}, HTTP: http.DefaultClient})
	owns := func() bool {
		var l administrator.Listing[administrator.Entry]
		return client.Get(t.Context(), "/v1/admin/entries", &l) == nil && l.Items[0].Partitions > 0
	}
	awaitTrue(t, "reads of the holds", func() bool { return refused.Load() >= 10 })
	if owns() {
		t.Error("the entry owns partitions before it knows the holds")
	}
	allowed.Store(true)
	awaitTrue(t, "partitions", owns)
}
