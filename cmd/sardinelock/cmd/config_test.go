package cmd

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/dispatcher"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
)

// configTimeout is the limit for waiting for a condition, far above the time that a
// successful run needs.
const configTimeout = 30 * time.Second

func quietLogger() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// runSystem starts a whole system that is stopped at the end of the test.
func runSystem(t *testing.T, entries, agents int) *launcher.System {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system, err := launcher.Start(ctx, launcher.Options{
		Entries:     entries,
		Agents:      agents,
		Limits:      entryLimits(),
		AgentLimits: agentLimits(),
		Logger:      quietLogger(),
	})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		// The error is ignored: a stand-in for an upstream reports that its agent
		// terminated first.
		system.Wait()
	})
	return system
}

// await waits until a status has the given version and state.
func await(t *testing.T, what string, status func() applier.Status, version uint64, state applier.State) {
	t.Helper()
	var s applier.Status
	for start := time.Now(); time.Since(start) < configTimeout; time.Sleep(20 * time.Millisecond) {
		if s = status(); s.Version == version && s.State == state {
			return
		}
	}
	t.Fatalf("%s is %+v, want version %d and %s", what, s, version, state)
}

// TestConfigReachesEveryProcess changes the configuration of a running system
// over real connections and starts an entry while the platform is down.
func TestConfigReachesEveryProcess(t *testing.T) {
	system := runSystem(t, 2, 3)
	v, err := configurer.NewVersion(
		configurer.File{Name: "base", Text: []byte("services: []\nlimits: {waiting-per-agent: 7}\n")},
		[]configurer.File{{Name: "overlay", Text: []byte("site: dc-1\nqueue: {max-tasks: 77}\n")}})
	if err != nil {
		t.Fatal(err)
	}
	r := versioner.New(storer.New(system.PlatformAddr))
	result, err := r.Apply(t.Context(), versioner.Change{ID: "c-2", ExpectVersion: 1, Content: *v})
	if err != nil || result.Verdict != versioner.VerdictAccepted {
		t.Fatalf("got %+v, %v", result, err)
	}
	for _, e := range system.Entries {
		await(t, "an entry", e.ConfigStatus, 2, applier.StateCurrent)
	}
	for _, a := range system.Agents {
		await(t, "an agent", a.ConfigStatus, 2, applier.StateCurrent)
	}

	system.Platform.SetFaults(emulator.Faults{Down: true})
	late := startLateEntry(t, system)
	// No entry can read the table, so that all processes become unconfirmed.
	await(t, "the late entry", late.ConfigStatus, 2, applier.StateUnconfirmed)
	await(t, "an agent", system.Agents[0].ConfigStatus, 2, applier.StateUnconfirmed)

	system.Platform.SetFaults(emulator.Faults{})
	if _, err := r.Apply(t.Context(), versioner.Change{ID: "c-3", ExpectVersion: 2, Content: *v}); err != nil {
		t.Fatal(err)
	}
	await(t, "the late entry", late.ConfigStatus, 3, applier.StateCurrent)
	await(t, "an agent", system.Agents[0].ConfigStatus, 3, applier.StateCurrent)
}

// startLateEntry starts an entry that knows the other entries only from its settings.
func startLateEntry(t *testing.T, system *launcher.System) *dispatcher.Entry {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var peers []netip.AddrPort
	for _, e := range system.Entries {
		peers = append(peers, e.PeerAddr())
	}
	e, err := dispatcher.New(dispatcher.Settings{
		Peer:         "entry-late",
		Region:       "default",
		DataCentre:   "dc-1",
		CallerListen: loopback,
		PeerListen:   loopback,
		AdminListen:  loopback,
		Platform:     system.PlatformAddr,
		Entries:      peers,
		Limits:       entryLimits(),
		DrainTimeout: time.Second,
		Logger:       quietLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return e
}
