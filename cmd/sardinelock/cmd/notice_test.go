package cmd

import (
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestNoticeOfShutdown sends SIGTERM to an entry. Until the drain notice has passed,
// /readyz must show a balancer that the entry drains, and requests that the balancer
// still sends must be answered. The notice is longer than the test, which kills the
// entry.
func TestNoticeOfShutdown(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	peer := f.startEntry()
	f.startEntry("--drain-notice", "10m", "--drain-timeout", "11m")
	f.startAgent(peer)
	f.startAgent(peer)
	drained := f.entries[1]
	f.awaitService(0)
	f.awaitService(1)
	drained.signal(syscall.SIGTERM)
	drained.awaitLog(`"event":"draining"`)

	if code := statusOf(t, f.admins[1], "/readyz"); code != http.StatusServiceUnavailable {
		t.Errorf("/readyz answers %d, want 503", code)
	}
	answer := <-f.submitAsync(1, submitter.NewSubmissionID(""), job(3, 10*time.Millisecond, 30*time.Second))
	if answer.Outcome != submitter.OutcomeComplete {
		t.Errorf("a job during the notice is %s %s, want complete", answer.Outcome, answer.Reason)
	}
	resp, err := http.Get("http://" + f.callers[1].String() + "/v1/jobs/" + submitter.NewSubmissionID(""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Error("the connection stays open after an answer during the notice")
	}
}

// awaitLog waits until the process has logged a text.
func (p *process) awaitLog(text string) {
	p.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(p.stderr.String(), text) {
			return
		}
	}
	p.t.Fatalf("the process does not log %s: %s", text, p.stderr.String())
}

func statusOf(t *testing.T, addr netip.AddrPort, path string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr.String() + path)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
