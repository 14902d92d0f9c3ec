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

// reply is what a fake entry does with one request.
type reply func(w http.ResponseWriter, id string)

func answered(outcome Outcome, reason Reason) reply {
	return func(w http.ResponseWriter, id string) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Answer{SubmissionID: id, Outcome: outcome, Reason: reason})
	}
}

func cut(http.ResponseWriter, string) { panic(http.ErrAbortHandler) }

// idLog has the ids that a fake entry was sent.
type idLog struct {
	mu  sync.Mutex
	ids []string
}

// add records an id and returns how many came before it.
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

// fakeEntry gives the replies in order and records the ids that it was sent.
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

// A lost connection is followed by the same id.
func TestSubmitAgainAfterLostConnection(t *testing.T) {
	c, ids := fakeEntry(t, cut, cut, answered(OutcomeComplete, ""))
	answer, err := c.Submit(t.Context(), "quote", "", Job{})
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Fatalf("got %+v, %v", answer, err)
	}
	want := []string{answer.SubmissionID, answer.SubmissionID, answer.SubmissionID}
	if diff := cmp.Diff(want, ids.all()); diff != "" {
		t.Errorf("ids (-want +got):\n%s", diff)
	}
}

// Without any answer the client claims nothing.
func TestNoAnswerIsUnknown(t *testing.T) {
	c, ids := fakeEntry(t, cut)
	answer, err := c.Submit(t.Context(), "quote", "", Job{})
	if err != nil || answer.Outcome != OutcomeUnknown || answer.Reason != ReasonConnectionLost {
		t.Errorf("got %+v, %v, want unknown", answer, err)
	}
	if len(ids.all()) != maxTries {
		t.Errorf("%d tries, want %d", len(ids.all()), maxTries)
	}
}

// A job that did not run because its owner was replaced gets a new id, unless the
// caller chose the id.
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
