package receiver

import (
	"net/http/httptest"
	"strings"
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
	s.await("admission", func() bool { return s.hijacked.Load() == 1 && len(s.receiver.conns) == 0 })
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

// TestDecodedBodiesAreBounded guards against small bodies that become large: the memory of each must be
// reserved before it is decoded, and a single one must be received whatever its size becomes.
func TestDecodedBodiesAreBounded(t *testing.T) {
	const size, memory = 100 << 10, 4 * bodyLimit
	s := newTestServer(t, Limits{MaxBytes: memory}, time.Second)
	largest := s.watchHeld()
	body := strings.Repeat("d", size)
	for range 32 {
		c := s.dial()
		c.sendText("/slow", body)
	}
	s.await("a body that holds its memory", func() bool { return s.receiver.held >= memory/maxDecodedDivisor })
	s.await("the release of all", func() bool { return s.receiver.held == 0 })
	if most := largest(); most > memory {
		t.Errorf("bodies held %d bytes, %d are allowed", most, memory)
	}
	c := s.dial()
	c.sendText("/", body)
	if got, want := c.answer(), "200 102400"; got != want {
		t.Errorf("a single body is answered %s, want %s", got, want)
	}
}

// TestPanicReleasesMemory guards against memory that is held for ever: a panic while the size of a decoded body
// is determined left its buffer reserved, and the body among those that may be cut off.
func TestPanicReleasesMemory(t *testing.T) {
	r := New(Limits{MaxBytes: 4 * bodyLimit})
	req := httptest.NewRequest("POST", "/", strings.NewReader("x"))
	func() {
		defer func() {
			if recover() == nil {
				t.Error("no panic")
			}
		}()
		_, _ = r.Receive(httptest.NewRecorder(), req, bodyLimit, time.Second, func([]byte) int64 { panic("decoded") })
	}()
	if held, _ := r.holds(); held != 0 || r.small.Len() != 0 {
		t.Errorf("%d bytes and %d bodies are held, want none", held, r.small.Len())
	}
}

// TestStalledBodiesAreReplaced guards against callers that keep the places of all others by sending a header
// and a part of the body.
func TestStalledBodiesAreReplaced(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit, MaxConns: 3}, time.Second)
	for range 3 {
		s.dial().send("POST", "/", 2, 1)
	}
	s.await("three connections", func() bool { return len(s.receiver.conns) == 3 })
	c := s.dial()
	c.send("POST", "/", 1, 1)
	if got, want := c.answer(), "200 1"; got != want {
		t.Errorf("a request beside stalled bodies is answered %s, want %s", got, want)
	}
}

// TestServerOptionsAreProtected guards against requests that the server answers without the receiver: their
// bodies were awaited for any time.
func TestServerOptionsAreProtected(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit}, 100*time.Millisecond)
	c := s.dial()
	c.send("OPTIONS", "*", 2, 1)
	if got := c.answer(); !strings.HasPrefix(got, "408") {
		t.Errorf("a request for the server's options whose body stalls is answered %s", got)
	}
}
