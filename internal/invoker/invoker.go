// Package invoker calls an upstream over HTTP with one request per task, and defines
// the HTTP contract between an upstream and its agent.
//
// A task's request is sent at most once. The Transport of net/http replays a request
// on a new connection in some cases, but only if it can read the body again, so the
// body of a task's request can be read only once.
package invoker

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// The headers of a task's request and its answer.
const (
	HeaderSubmission = "Sardinelock-Submission-Id"
	HeaderTask       = "Sardinelock-Task"
	HeaderDeadline   = "Sardinelock-Deadline"
	// HeaderPeakMemory is set by the upstream in its answer; the value is in bytes.
	HeaderPeakMemory = "Sardinelock-Peak-Memory-Bytes"
)

// AnnouncePath is the path at which an agent accepts announcements of its upstream.
const AnnouncePath = "/v1/upstream"

// Announcement is an upstream's description of itself.
type Announcement struct {
	Address      netip.AddrPort     `json:"address"`
	Services     []string           `json:"services"`
	Slots        int                `json:"slots"`
	Connections  int                `json:"connections"`
	MemoryBytes  int64              `json:"memory-bytes"`
	Accelerators int                `json:"accelerators"`
	TimeToLive   submitter.Duration `json:"time-to-live"`
	// Leaving is set if the upstream accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Call is one task to run.
type Call struct {
	Upstream   netip.AddrPort
	Path       string
	Submission identifier.Submission
	Task       uint16
	Payload    []byte
	// Deadline is sent to the upstream. It does not limit the request; the context does.
	Deadline time.Time
}

// Reply is a successful answer.
type Reply struct {
	Payload         []byte
	PeakMemoryBytes int64 // PeakMemoryBytes is 0 if the upstream did not report it.
}

// MaxReplyBytes limits the size of a task's result.
const MaxReplyBytes = 4 << 20

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
)

// Invoker calls one upstream.
type Invoker struct {
	client *http.Client
}

// New returns an invoker that opens at most the given number of connections.
func New(connections int) *Invoker {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Invoker{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (i *Invoker) Close() { i.client.CloseIdleConnections() }

// Call runs one task. After any error the task may have started. The kinds of errors
// are [KindUnreachable], [KindDeadline], [KindStatus] and [KindTooLarge].
func (i *Invoker) Call(ctx context.Context, c Call) (Reply, error) {
	const op = "call"
	req, err := newRequest(ctx, c)
	if err != nil {
		return Reply{}, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return Reply{}, callError(ctx, op, err)
	}
	defer resp.Body.Close()
	payload, err := readPayload(resp.Body, resp.ContentLength)
	if err != nil {
		return Reply{}, callError(ctx, op, err)
	}
	if len(payload) > MaxReplyBytes {
		return Reply{}, &Error{Op: op, Kind: KindTooLarge, Err: errTooLarge}
	}
	if resp.StatusCode != http.StatusOK {
		return Reply{}, &Error{Op: op, Kind: KindStatus, Err: statusError(resp.StatusCode)}
	}
	return Reply{Payload: payload, PeakMemoryBytes: peakMemory(resp.Header)}, nil
}

// readPayload reads up to one byte more than MaxReplyBytes. A negative length is
// unknown. Results are kept after the call, so the buffer is no larger than needed;
// io.ReadAll alone would allocate 512 bytes for the smallest result.
func readPayload(body io.Reader, length int64) ([]byte, error) {
	limited := io.LimitReader(body, MaxReplyBytes+1)
	if length < 0 || length > MaxReplyBytes {
		payload, err := io.ReadAll(limited)
		return bytes.Clone(payload), err
	}
	payload := make([]byte, length)
	_, err := io.ReadFull(limited, payload)
	return payload, err
}

// callError returns an error of kind [KindDeadline] if the context's deadline has
// passed, and of kind [KindUnreachable] otherwise.
func callError(ctx context.Context, op string, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &Error{Op: op, Kind: KindDeadline, Err: context.DeadlineExceeded}
	}
	return &Error{Op: op, Kind: KindUnreachable, Err: err}
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
	payload := c.Payload
	if len(payload) == 0 {
		payload = []byte("null")
	}
	url := "http://" + c.Upstream.String() + c.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleReadBody{bytes.NewReader(payload)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(payload))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmission, c.Submission.String())
	req.Header.Set(HeaderTask, strconv.Itoa(int(c.Task)))
	req.Header.Set(HeaderDeadline, c.Deadline.UTC().Format(time.RFC3339Nano))
	return req, nil
}

// singleReadBody hides the type of the reader from net/http, which would otherwise set
// GetBody and could then replay the request.
type singleReadBody struct{ io.Reader }

func peakMemory(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get(HeaderPeakMemory), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
