package submitter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
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

// fakeEntry gives the replies in order and records the ids that it was sent.
func fakeEntry(t *testing.T, replies ...reply) (*Client, *[]string) {
	t.Helper()
	var ids []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderSubmissionID)
		next := replies[min(len(ids), len(replies)-1)]
		ids = append(ids, id)
		next(w, id)
	}))
	t.Cleanup(server.Close)
	c := New(Options{Entries: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
	c.Sleep = func(context.Context, time.Duration) {}
	return c, &ids
}

// A lost connection is followed by the same id.
func TestSubmitAgainAfterLostConnection(t *testing.T) {
	c, ids := fakeEntry(t, cut, cut, answered(OutcomeComplete, ""))
	answer, err := c.Submit(t.Context(), "quote", "", Job{})
	if err != nil || answer.Outcome != OutcomeComplete {
		t.Fatalf("got %+v, %v", answer, err)
	}
	want := []string{answer.SubmissionID, answer.SubmissionID, answer.SubmissionID}
	if diff := cmp.Diff(want, *ids); diff != "" {
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
	if len(*ids) != maxTries {
		t.Errorf("%d tries, want %d", len(*ids), maxTries)
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
	if len(*ids) != 2 || (*ids)[0] == (*ids)[1] {
		t.Errorf("ids %v, want two that differ", *ids)
	}
	c, _ = fakeEntry(t, answered(OutcomeNotRun, ReasonOwnerChanged))
	answer, err = c.Submit(t.Context(), "quote", NewSubmissionID(""), Job{})
	if err != nil || answer.Outcome != OutcomeNotRun {
		t.Errorf("got %+v, %v, want not-run", answer, err)
	}
}
