package receiver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const bodyLimit = 256 << 10

// testServer is a server whose handler receives bodies and answers with their sizes. A request for
// /ignored is answered without its body, one for /slow after slowTime, and one for /large with largeAnswer
// bytes. The handlers of /hijacked and /admitted take the connection from the server and wait for its end.
type testServer struct {
	t        *testing.T
	receiver *Receiver
	address  string
	hijacked atomic.Int64 // hijacked counts the connections that handlers have taken.
}

// decodedSize returns the size that a body has once it is decoded: that of each "d" in it.
func decodedSize(b []byte) int64 { return int64(bytes.Count(b, []byte("d"))) * decodedFactor }

const decodedFactor = 8

const (
	slowTime = 500 * time.Millisecond
	// largeAnswer is more than the buffers of the kernel hold.
	largeAnswer      = 64 << 20
	testWriteTimeout = 200 * time.Millisecond
)

func newTestServer(t *testing.T, l Limits, timeout time.Duration) *testServer {
	t.Helper()
	r := New(l)
	s := &testServer{t: t, receiver: r}
	statuses := map[Kind]int{KindTooLarge: http.StatusRequestEntityTooLarge, KindTimeout: http.StatusRequestTimeout, KindOverload: http.StatusServiceUnavailable, KindBroken: http.StatusBadRequest}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/ignored":
			_, _ = io.WriteString(w, "ignored")
			return
		case "/large":
			_, _ = w.Write(make([]byte, largeAnswer))
			return
		case "/hijacked", "/admitted":
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			if req.URL.Path == "/admitted" {
				r.Admit(req.Context())
			}
			s.hijacked.Add(1)
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
			return
		}
		b, err := r.Receive(w, req, bodyLimit, timeout, decodedSize)
		if err != nil {
			http.Error(w, err.Error(), statuses[err.(*Error).Kind])
			return
		}
		defer b.Release()
		if req.URL.Path == "/slow" {
			select {
			case <-time.After(slowTime):
			case <-req.Context().Done():
				http.Error(w, "the context has ended", http.StatusGone)
				return
			}
		}
		_, _ = fmt.Fprint(w, len(b.Bytes()))
	}))
	at, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tcp := at.(listener)
	tcp.writeTimeout = testWriteTimeout
	_ = server.Listener.Close()
	server.Listener = tcp
	r.Protect(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// client is a connection to a test server.
type client struct {
	net.Conn
	answers *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, answers: bufio.NewReader(c)}
}

// send sends a request that announces a body of a size, or a chunked one if it is negative, and a part
// of that.
func (c *client) send(method, path string, announced, sent int) {
	length := fmt.Sprintf("Content-Length: %d", announced)
	body := strings.Repeat("x", sent)
	if announced < 0 {
		length = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s\r\n", sent, body)
	}
	// The server may refuse the request before all of it is sent.
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: test\r\n%s\r\n\r\n%s", method, path, length, body)
}

// sendText sends a request with a body.
func (c *client) sendText(path, body string) {
	// The server may refuse the request before all of it is sent.
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// answer returns the status and the text of the next answer, and whether the server then closes the
// connection.
func (c *client) answer() string {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return "no answer"
	}
	text, _ := io.ReadAll(resp.Body)
	answer := strings.TrimSpace(fmt.Sprintf("%d %s", resp.StatusCode, text))
	if resp.Close {
		answer += " (closed)"
	}
	return answer
}

// TestStalledBodiesAreBounded checks that bodies that do not end never hold more than the memory for
// them, and that a body that arrives at once is received beside them.
func TestStalledBodiesAreBounded(t *testing.T) {
	const (
		stalled = 64
		sent    = 200 << 10
		memory  = 4 * bodyLimit
	)
	for _, announced := range []int{240 << 10, -1} {
		s := newTestServer(t, Limits{MaxBytes: memory}, time.Second)
		largest := s.watchHeld()
		var wg sync.WaitGroup
		var answered atomic.Int64
		for range stalled {
			wg.Go(func() {
				c := s.dial()
				c.send("POST", "/", announced, sent)
				got := c.answer()
				answered.Add(1)
				if got != "503 receiver: receive: overload: the body was cut off for others that arrived faster (closed)" &&
					got != "408 receiver: receive: timeout: the body did not arrive in time (closed)" {
					t.Errorf("a stalled body is answered %s", got)
				}
			})
		}
		s.await("the stalled bodies", func() bool {
			return s.receiver.wanted == 0 && s.receiver.large.Len()+int(answered.Load()) == stalled
		})
		for range 20 {
			s.checkWhole(sent)
		}
		wg.Wait()
		if most := largest(); most > memory {
			t.Errorf("bodies held %d bytes, %d are allowed", most, memory)
		}
		if held, _ := s.receiver.holds(); held != 0 {
			t.Errorf("%d bytes are held in the end", held)
		}
	}
}

// checkWhole sends a body of a size, which must be received.
func (s *testServer) checkWhole(size int) {
	s.t.Helper()
	c := s.dial()
	c.send("POST", "/", size, size)
	if got := c.answer(); got != fmt.Sprintf("200 %d", size) {
		s.t.Errorf("a whole body is answered %s", got)
	}
}

// watchHeld watches the memory of bodies. It returns a function that ends that and returns the most that
// was seen.
func (s *testServer) watchHeld() (largest func() int64) {
	done, most := make(chan struct{}), make(chan int64)
	go func() {
		var seen int64
		for {
			select {
			case <-done:
				most <- seen
				return
			default:
				held, _ := s.receiver.holds()
				seen = max(seen, held)
			}
		}
	}()
	return func() int64 { close(done); return <-most }
}

// TestAnswers checks the answers to bodies of each kind, and which connections can be used again.
func TestAnswers(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for _, test := range []struct {
		name            string
		method, path    string
		announced, sent int
		want            []string
	}{
		{"whole", "POST", "/", 10, 10, []string{"200 10", "200 0"}},
		{"empty", "POST", "/", 0, 0, []string{"200 0", "200 0"}},
		{"whole, answered after the time for the body", "POST", "/slow", 10, 10, []string{"200 10", "200 0"}},
		{"stalled", "POST", "/", 10, 5, []string{"408 receiver: receive: timeout: the body did not arrive in time (closed)", "no answer"}},
		{"stalled chunks", "POST", "/", -1, 5, []string{"408 receiver: receive: timeout: the body did not arrive in time (closed)", "no answer"}},
		{"too large", "POST", "/", bodyLimit + 1, 0, []string{"413 receiver: receive: too-large: the body is too large (closed)", "no answer"}},
		{"too large in chunks", "POST", "/", -1, bodyLimit + 1, []string{"413 receiver: receive: too-large: the body is too large (closed)", "no answer"}},
		{"ignored", "DELETE", "/ignored", 10, 5, []string{"200 ignored (closed)", "no answer"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, Limits{MaxBytes: 4 * (bodyLimit + 1)}, timeout)
			c := s.dial()
			c.send(test.method, test.path, test.announced, test.sent)
			got := []string{c.answer()}
			c.send("POST", "/", 0, 0)
			got = append(got, c.answer())
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("answers to the request and to another one (-want +got):\n%s", diff)
			}
		})
	}
}

// holds returns the total size of the buffers of bodies, in bytes, and the number of open connections.
func (r *Receiver) holds() (bytes int64, conns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, len(r.conns)
}

// await waits until a condition on the receiver holds.
func (s *testServer) await(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.receiver.mu.Lock()
		ok := holds()
		s.receiver.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not after 5 s", what)
		}
	}
}

// TestExpectContinue checks that a caller that waits for the leave to send its body gets it, or else the
// answer at once.
func TestExpectContinue(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit}, time.Second)
	for path, want := range map[string][]string{
		"/":        {"100", "200 10"},
		"/ignored": {"200 ignored (closed)"},
	} {
		c := s.dial()
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n", path)
		got := []string{c.answer()}
		if got[0] == "100" {
			_, _ = io.WriteString(c, "0123456789")
			got = append(got, c.answer())
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", path, diff)
		}
	}
}

// TestOldestConnIsReplaced checks that a connection beyond the limit is served, and that the one without
// a request for the longest time is closed for it.
func TestOldestConnIsReplaced(t *testing.T) {
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit, MaxConns: 3}, time.Second)
	serving, unused, idle := s.dial(), s.dial(), s.dial()
	serving.send("POST", "/slow", 1, 1)
	for _, c := range []*client{idle, unused, idle} {
		c.send("POST", "/", 1, 1)
		if got := c.answer(); got != "200 1" {
			t.Fatalf("the first answer is %s", got)
		}
		s.await("two connections without a request", func() bool { return s.receiver.waiting.Len() == 2 })
	}
	late := s.dial()
	late.send("POST", "/", 3, 3)
	got := map[string]string{"serving": serving.answer(), "unused": unused.answer(), "late": late.answer()}
	idle.send("POST", "/", 4, 4)
	got["idle"] = idle.answer()
	want := map[string]string{"serving": "200 1", "unused": "no answer", "late": "200 3", "idle": "200 4"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if _, conns := s.receiver.holds(); conns != 3 {
		t.Errorf("%d connections are open, want 3", conns)
	}
}
