package submitter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// reply answers one request to a fake entry.
type reply func(w http.ResponseWriter, id string)

func answered(outcome Outcome, reason Reason) reply {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Answer{SubmissionID: id, Outcome: outcome, Reason: reason})
	}
}

func abortConnection(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

// idLog records the submission ids that a fake entry received.
type idLog struct {
	mu  sync.Mutex
	ids []string
}

// add records an id and returns the number of ids recorded before it.
func (l *idLog) add(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
	return len(l.ids) - 1
}

func (l *idLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ids)
}

// fakeEntry starts a fake entry and returns a client of it. The entry gives the replies
// in order, repeats the last one, and logs the ids that it receives.
func fakeEntry(t *testing.T, replies ...reply) (*Client, *idLog) {
	t.Helper()
	log := new(idLog)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderSubmissionID)
		replies[min(log.add(id), len(replies)-1)](w, id)
	}))
	t.Cleanup(server.Close)
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
	c.Sleep = func(context.Context, time.Duration) {}
	return c, log
}

// TestSubmitAgainAfterLostConnection checks that the client submits the same id again
// after a lost connection. Another id could run the job twice.
func TestSubmitAgainAfterLostConnection(t *testing.T) {
	c, ids := fakeEntry(t, abortConnection, abortConnection, answered(OutcomeComplete, ""))
	answer, err := c.Submit(t.Context(), "quote", "", Job{})
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Fatalf("got %+v, %v", answer, err)
	}
	want := []string{answer.SubmissionID, answer.SubmissionID, answer.SubmissionID}
	if diff := cmp.Diff(want, ids.all()); diff != "" {
		t.Errorf("ids (-want +got):\n%s", diff)
	}
}

// TestNoAnswerIsUnknown checks that the outcome is unknown if no attempt is answered.
func TestNoAnswerIsUnknown(t *testing.T) {
	c, ids := fakeEntry(t, abortConnection)
	answer, err := c.Submit(t.Context(), "quote", "", Job{})
	if err != nil || answer.Outcome != OutcomeUnknown || answer.Reason != ReasonConnectionLost {
		t.Errorf("got %+v, %v, want unknown", answer, err)
	}
	if len(ids.all()) != maxAttempts {
		t.Errorf("%d attempts, want %d", len(ids.all()), maxAttempts)
	}
}

// TestNewIDAfterReplacedOwner checks that a job that did not run because its owner was
// replaced is submitted under a new id, unless the caller chose the id.
func TestNewIDAfterReplacedOwner(t *testing.T) {
	c, ids := fakeEntry(t, answered(OutcomeNotRun, ReasonOwnerChanged), answered(OutcomeComplete, ""))
	answer, err := c.Submit(t.Context(), "quote", "", Job{RequestKey: "plate-setup-7"})
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Fatalf("got %+v, %v", answer, err)
	}
	if sent := ids.all(); len(sent) != 2 || sent[0] == sent[1] {
		t.Errorf("ids %v, want two that differ", sent)
	}
	c, _ = fakeEntry(t, answered(OutcomeNotRun, ReasonOwnerChanged))
	answer, err = c.Submit(t.Context(), "quote", NewSubmissionID(""), Job{})
	if err != nil || answer.Outcome != OutcomeNotRun {
		t.Errorf("got %+v, %v, want not-run", answer, err)
	}
}
