package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

const clientTimeout = time.Minute

// newSystem starts a system that is stopped at the end of the test.
func newSystem(t *testing.T, o launcher.Options) *launcher.System {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	o.Limits = entryLimits()
	o.AgentLimits = agentLimits()
	if o.Logger == nil {
		o.Logger = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	}
	system, err := launcher.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		system.Wait()
	})
	if err := system.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return system
}

// submitAll submits jobs one after the other and returns the number of jobs by
// outcome.
func submitAll(t *testing.T, o submitter.Options, jobs int) map[submitter.Outcome]int {
	t.Helper()
	client := submitter.New(o)
	outcomes := make(map[submitter.Outcome]int)
	for range jobs {
		answer, err := client.Submit(t.Context(), "quote", "", submitter.Job{
			Deadline: submitter.Duration(clientTimeout),
			Tasks:    []submitter.Task{{Payload: json.RawMessage(`{"run-time":"1ms"}`), Repeatable: true}},
		})
		if err != nil {
			t.Error(err)
			continue
		}
		outcomes[answer.Outcome]++
	}
	return outcomes
}

// TestHostileClients runs good clients beside clients that send headers slowly, send
// bodies or messages that are too large, or abort requests. Every good request must
// succeed, and every hostile one must be rejected.
func TestHostileClients(t *testing.T) {
	const goodClients, jobsEach, hostileEach = 4, 50, 8
	system := newSystem(t, launcher.Options{Entries: 1, Agents: 2})
	entry := system.Entries[0]
	hostile := map[string]func(netip.AddrPort) error{
		"slow header":    sendSlowHeader,
		"large header":   sendLargeHeader,
		"large body":     sendLargeBody,
		"half a request": sendHalfRequest,
	}
	var wg sync.WaitGroup
	for name, f := range hostile {
		for range hostileEach {
			wg.Go(func() {
				if err := f(entry.CallerAddr()); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}
	wg.Go(func() {
		if err := sendLargeMessage(t.Context(), entry.PeerAddr()); err != nil {
			t.Errorf("large message: %v", err)
		}
	})
	var mu sync.Mutex
	total := make(map[submitter.Outcome]int)
	for range goodClients {
		wg.Go(func() {
			outcomes := submitAll(t, submitter.Options{Entries: system.CallerAddrs()}, jobsEach)
			mu.Lock()
			defer mu.Unlock()
			for o, n := range outcomes {
				total[o] += n
			}
		})
	}
	wg.Wait()
	want := map[submitter.Outcome]int{submitter.OutcomeComplete: goodClients * jobsEach}
	if diff := cmp.Diff(want, total); diff != "" {
		t.Errorf("outcomes of the good clients (-want +got):\n%s", diff)
	}
}

// TestHalfClosedCaller closes the sending side of a connection before the answer to its
// request is known. The caller must get the outcome "unknown", not an empty answer with
// a status of success. Submitting the same id again must be safe.
func TestHalfClosedCaller(t *testing.T) {
	system := newSystem(t, launcher.Options{Entries: 1, Agents: 1})
	ids := identifier.Generator{Random: rand.NewChaCha8([32]byte{5})}
	id := ids.New(time.Now()).String()
	const body = `{"deadline":"50s","tasks":[{"payload":{"run-time":"100ms"}}]}`
	conn, err := dial(system.Entries[0].CallerAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /v1/services/quote/jobs HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		submitter.HeaderSubmissionID, id, len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer submitter.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	got := []any{resp.StatusCode, answer.SubmissionID, answer.Outcome, answer.Reason}
	want := []any{http.StatusGatewayTimeout, id, submitter.OutcomeUnknown, submitter.ReasonConnectionLost}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}

	again, err := submitter.New(submitter.Options{Entries: system.CallerAddrs()}).Submit(t.Context(), "quote", id, submitter.Job{
		Deadline: submitter.Duration(50 * time.Second),
		Tasks:    []submitter.Task{{Payload: json.RawMessage(`{"run-time":"100ms"}`)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	total, repeated := system.Upstreams[0].Starts()
	if repeated != 0 || again.Outcome == submitter.OutcomeComplete && total != 1 || again.Outcome == submitter.OutcomeNotRun && total != 0 {
		t.Errorf("the outcome is %s, %d tasks started, %d of them repeatedly", again.Outcome, total, repeated)
	}
}

func dial(addr netip.AddrPort) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr.String(), clientTimeout)
	if err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Now().Add(clientTimeout))
}

// sendSlowHeader sends an endless header one byte at a time until the server closes
// the connection.
func sendSlowHeader(addr netip.AddrPort) error {
	conn, err := dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	closed := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, conn)
		closed <- err
	}()
	if _, err := io.WriteString(conn, "POST /v1/services/quote/jobs HTTP/1.1\r\nHost: x\r\nX: "); err != nil {
		return err
	}
	for {
		select {
		case err := <-closed:
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				return fmt.Errorf("the connection was not closed")
			}
			return nil
		case <-time.After(50 * time.Millisecond):
			// The write fails once the server has closed the connection.
			_, _ = io.WriteString(conn, "a")
		}
	}
}

func sendLargeHeader(addr netip.AddrPort) error {
	return expectStatus(addr, "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("a", 1<<20)+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge)
}

// expectStatus sends a request and checks the status line of the answer.
func expectStatus(addr netip.AddrPort, request string, status int) error {
	conn, err := dial(addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	// The server may answer and close the connection before the whole request is sent.
	go func() { _, _ = io.WriteString(conn, request) }()
	line := make([]byte, len("HTTP/1.1 000"))
	if _, err := io.ReadFull(conn, line); err != nil {
		return err
	}
	if want := fmt.Sprintf("HTTP/1.1 %d", status); string(line) != want {
		return fmt.Errorf("answer %q, want %q", line, want)
	}
	return nil
}

// sendLargeBody sends one task whose payload exceeds the maximum size of a body.
func sendLargeBody(addr netip.AddrPort) error {
	body := io.MultiReader(strings.NewReader(`{"tasks":[{"payload":"`), io.LimitReader(letterReader{}, 40<<20), strings.NewReader(`"}]}`))
	resp, err := http.Post("http://"+addr.String()+"/v1/services/quote/jobs", "application/json", body)
	if err != nil {
		// The server may close the connection while the body is being sent.
		return nil
	}
	defer resp.Body.Close()
	// On a busy machine the request may time out before the size limit is reached.
	if resp.StatusCode != http.StatusRequestEntityTooLarge && resp.StatusCode != http.StatusRequestTimeout {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// letterReader is an endless text.
type letterReader struct{}

func (letterReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a'
	}
	return len(p), nil
}

// sendHalfRequest closes the connection in the middle of the body.
func sendHalfRequest(addr netip.AddrPort) error {
	conn, err := dial(addr)
	if err != nil {
		return err
	}
	_, err = io.WriteString(conn, "POST /v1/services/quote/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"tasks\":[")
	_ = conn.Close()
	return err
}

// sendLargeMessage connects as an entry and sends a message that exceeds the size
// limit. It returns an error unless the connection is closed.
func sendLargeMessage(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr.String()+connector.Path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = ws.CloseNow() }()
	ws.SetReadLimit(messenger.MaxMessageBytes)
	var hello bytes.Buffer
	err = messenger.Append(&hello, &messenger.Frame{Hello: &messenger.Hello{
		Version: messenger.ProtocolVersion,
		Peer:    "entry-hostile",
		Role:    messenger.RoleEntry,
		Region:  "default",
	}})
	if err != nil {
		return err
	}
	if err := ws.Write(ctx, websocket.MessageBinary, hello.Bytes()); err != nil {
		return err
	}
	// The write may fail because the server closes the connection meanwhile.
	_ = ws.Write(ctx, websocket.MessageBinary, make([]byte, messenger.MaxMessageBytes+1))
	for {
		if _, _, err := ws.Read(ctx); err != nil {
			if ctx.Err() != nil {
				return fmt.Errorf("the connection was not closed")
			}
			return nil
		}
	}
}
