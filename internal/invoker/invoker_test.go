package invoker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/identifier"
)

const testTimeout = time.Minute

// act is what the upstream of a test does with one request.
type act string

const (
	actAnswer     act = "answer"              // Answer and keep the connection.
	actIdleClose  act = "answer, then close"  // Answer as if to keep the connection, and close it.
	actClose      act = "close"               // Close the connection without an answer.
	actHalfClose  act = "close in the answer" // Close the connection in the middle of the answer.
	actCloseEarly act = "close in the body"   // Close the connection before the body is read.
	actReset      act = "reset"               // Reset the connection without an answer.
)

// tornUpstream follows a script, request by request, and counts the requests of
// each task.
type tornUpstream struct {
	listener net.Listener

	mu     sync.Mutex
	script []act
	starts map[string]int
}

func newTornUpstream(t *testing.T, script ...act) *tornUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &tornUpstream{listener: l, script: script, starts: make(map[string]int)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *tornUpstream) addr() netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (u *tornUpstream) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		what := u.next(r.Header.Get(HeaderTask))
		if what != actCloseEarly {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if !what.carryOut(conn) {
			return
		}
	}
}

// next counts a request and returns what is done with it. A request beyond the
// script is answered.
func (u *tornUpstream) next(task string) act {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts[task]++
	if len(u.script) == 0 {
		return actAnswer
	}
	what := u.script[0]
	u.script = u.script[1:]
	return what
}

// carryOut reports whether the connection stays open.
func (a act) carryOut(conn net.Conn) bool {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\ntrue"
	switch a {
	case actAnswer:
		_, err := io.WriteString(conn, whole)
		return err == nil
	case actIdleClose:
		_, _ = io.WriteString(conn, whole)
	case actHalfClose:
		_, _ = io.WriteString(conn, whole[:len(whole)-2])
	case actReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// callAll calls the upstream for one task after the other and returns the
// outcome of each: "done" or the kind of the error.
func callAll(t *testing.T, u *tornUpstream, tasks int) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	inv := New(1)
	defer inv.Close()
	maker := identifier.Generator{Random: rand.NewChaCha8([32]byte{1})}
	id := maker.New(time.Unix(1_700_000_000, 0))
	var out []string
	for i := range tasks {
		_, err := inv.Call(ctx, Call{
			Upstream:   u.addr(),
			Path:       "/quote",
			Submission: id,
			Task:       uint16(i),
			Payload:    []byte(`{"sheet":1}`),
		})
		if err != nil {
			out = append(out, string(KindOf(err)))
			continue
		}
		out = append(out, "done")
	}
	return out
}

// TestTornConnection tears a connection that was used before in several ways
// while a request is under way, which is when net/http may replay one. The task
// fails, the next goes over a new connection, and each was sent once.
func TestTornConnection(t *testing.T) {
	for _, torn := range []act{actClose, actHalfClose, actCloseEarly, actReset} {
		t.Run(string(torn), func(t *testing.T) {
			u := newTornUpstream(t, actAnswer, torn)
			got := callAll(t, u, 3)
			if diff := cmp.Diff([]string{"done", string(KindUnreachable), "done"}, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if diff := cmp.Diff(map[string]int{"0": 1, "1": 1, "2": 1}, u.starts); diff != "" {
				t.Errorf("requests of each task (-want +got):\n%s", diff)
			}
		})
	}
}

// TestIdleClose closes each connection after its answer, while it waits for the
// next request. Whether the next request notices in time is open: it is sent once
// over a new connection, or fails and is not sent again.
func TestIdleClose(t *testing.T) {
	const tasks = 200
	script := make([]act, tasks)
	for i := range script {
		script[i] = actIdleClose
	}
	u := newTornUpstream(t, script...)
	got := callAll(t, u, tasks)
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, outcome := range got {
		n := u.starts[fmt.Sprint(i)]
		if n > 1 || outcome == "done" && n != 1 {
			t.Errorf("task %d is %s and was sent %d times", i, outcome, n)
		}
	}
}

// TestRequestCannotBeReplayed checks that net/http has no way to send the body of a
// task's request again.
func TestRequestCannotBeReplayed(t *testing.T) {
	req, err := newRequest(t.Context(), Call{Upstream: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/quote"})
	if err != nil {
		t.Fatal(err)
	}
	if req.GetBody != nil {
		t.Error("the request has a body that can be read again")
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if req.Header.Get(name) != "" {
			t.Errorf("the request has the header %s, for which net/http replays requests", name)
		}
	}
}
