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

// action is what a test's upstream does with one request.
type action string

const (
	actionAnswer          action = "answer"              // Answer and keep the connection.
	actionAnswerThenClose action = "answer, then close"  // Answer without announcing the close, then close the connection.
	actionClose           action = "close"               // Close the connection without an answer.
	actionCloseMidAnswer  action = "close in the answer" // Close the connection in the middle of the answer.
	actionCloseBeforeBody action = "close in the body"   // Close the connection before the body is read.
	actionReset           action = "reset"               // Reset the connection without an answer.
)

// scriptedUpstream performs one action of a script per request, and counts the requests
// for each task.
type scriptedUpstream struct {
	listener net.Listener

	mu       sync.Mutex
	script   []action
	requests map[string]int // requests counts the requests for each task.
}

func newScriptedUpstream(t *testing.T, script ...action) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &scriptedUpstream{listener: l, script: script, requests: make(map[string]int)}
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

func (u *scriptedUpstream) addr() netip.AddrPort {
	return u.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (u *scriptedUpstream) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		what := u.next(r.Header.Get(HeaderTask))
		if what != actionCloseBeforeBody {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if !what.perform(conn) {
			return
		}
	}
}

// next counts a request for a task and returns the action to perform. After the end of
// the script it returns actionAnswer.
func (u *scriptedUpstream) next(task string) action {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests[task]++
	if len(u.script) == 0 {
		return actionAnswer
	}
	next := u.script[0]
	u.script = u.script[1:]
	return next
}

// perform performs the action and reports whether the connection stays open.
func (a action) perform(conn net.Conn) bool {
	const whole = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\ntrue"
	switch a {
	case actionAnswer:
		_, err := io.WriteString(conn, whole)
		return err == nil
	case actionAnswerThenClose:
		_, _ = io.WriteString(conn, whole)
	case actionCloseMidAnswer:
		_, _ = io.WriteString(conn, whole[:len(whole)-2])
	case actionReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// callAll runs the tasks on the upstream one after the other and returns the outcome
// of each: "done" or the kind of the error.
func callAll(t *testing.T, u *scriptedUpstream, tasks int) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	inv := New(1)
	defer inv.Close()
	generator := identifier.Generator{Random: rand.NewChaCha8([32]byte{1})}
	id := generator.New(time.Unix(1_700_000_000, 0))
	var outcomes []string
	for i := range tasks {
		_, err := inv.Call(ctx, Call{
			Upstream:   u.addr(),
			Path:       "/quote",
			Submission: id,
			Task:       uint16(i),
			Payload:    []byte(`{"sheet":1}`),
		})
		if err != nil {
			outcomes = append(outcomes, string(KindOf(err)))
			continue
		}
		outcomes = append(outcomes, "done")
	}
	return outcomes
}

// TestBrokenConnection breaks a reused connection in several ways while a request is in
// flight, when net/http may replay the request. It checks that the task fails, that the
// next task runs over a new connection, and that each task is sent only once.
func TestBrokenConnection(t *testing.T) {
	for _, fault := range []action{actionClose, actionCloseMidAnswer, actionCloseBeforeBody, actionReset} {
		t.Run(string(fault), func(t *testing.T) {
			u := newScriptedUpstream(t, actionAnswer, fault)
			got := callAll(t, u, 3)
			if diff := cmp.Diff([]string{"done", string(KindUnreachable), "done"}, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if diff := cmp.Diff(map[string]int{"0": 1, "1": 1, "2": 1}, u.requests); diff != "" {
				t.Errorf("requests of each task (-want +got):\n%s", diff)
			}
		})
	}
}

// TestIdleClose closes each connection after its answer, while it is idle. The next
// request may or may not detect this in time: it is sent once over a new connection, or
// it fails and is not sent again.
func TestIdleClose(t *testing.T) {
	const tasks = 200
	script := make([]action, tasks)
	for i := range script {
		script[i] = actionAnswerThenClose
	}
	u := newScriptedUpstream(t, script...)
	got := callAll(t, u, tasks)
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, outcome := range got {
		n := u.requests[fmt.Sprint(i)]
		if n > 1 || outcome == "done" && n != 1 {
			t.Errorf("task %d is %s and was sent %d times", i, outcome, n)
		}
	}
}

// TestRequestCannotBeReplayed checks that net/http cannot send the body of a task's
// request a second time.
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
