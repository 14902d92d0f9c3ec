package receiver

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCallersThatDoNotRead guards against callers that keep their connections, which cannot be replaced
// while a request is being served, by not reading the answer.
func TestCallersThatDoNotRead(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit}, time.Second)
	for range 3 {
		s.dial().send("GET", "/large", 0, 0)
	}
	s.await("the end of the connections", func() bool { return len(s.receiver.conns) == 0 && s.receiver.waiting.Len() == 0 })
}

// TestHijackedConnsCount guards against callers that open any number of connections by beginning the
// handshake of a peer: those that were not admitted count, and are replaced.
func TestHijackedConnsCount(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit, MaxConns: 2}, time.Second)
	admitted := s.dial()
	admitted.send("GET", "/admitted", 0, 0)
	s.await("admission", func() bool { return len(s.receiver.conns) == 0 })
	first, second := s.dial(), s.dial()
	for i, c := range []*client{first, second} {
		c.send("GET", "/hijacked", 0, 0)
		s.await("a handshake", func() bool { return s.hijacked.Load() == int64(i+2) })
	}
	late := s.dial()
	late.send("POST", "/", 1, 1)
	got := []string{first.answer(), late.answer()}
	if diff := cmp.Diff([]string{"no answer", "200 1"}, got); diff != "" {
		t.Errorf("the oldest handshake and a new request (-want +got):\n%s", diff)
	}
	_ = second.Close()
	_ = late.Close()
	s.await("the end of all that count", func() bool { return len(s.receiver.conns) == 0 })
}
