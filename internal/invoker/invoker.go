// Package invoker calls an upstream over HTTP, one request a task, and defines
// the HTTP contract between an upstream and its agent.
//
// A task's request is sent at most once. net/http's Transport replays a request
// on a new connection in some cases; it does so only if it can read the body
// again, so every task's request has a body that can be read once only.
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

// The headers of a task's request.
const (
	HeaderSubmission = "Sardinelock-Submission-Id"
	HeaderTask       = "Sardinelock-Task"
	HeaderDeadline   = "Sardinelock-Deadline"
	// HeaderPeakMemory is set by the upstream on its answer, in bytes.
	HeaderPeakMemory = "Sardinelock-Peak-Memory-Bytes"
)

// AnnouncePath is where an agent accepts announcements of its upstream.
const AnnouncePath = "/v1/upstream"

// Announcement is what an upstream says about itself.
type Announcement struct {
	Address      netip.AddrPort     `json:"address"`
	Services     []string           `json:"services"`
	Slots        int                `json:"slots"`
	Connections  int                `json:"connections"`
	MemoryBytes  int64              `json:"memory-bytes"`
	Accelerators int                `json:"accelerators"`
	TimeToLive   submitter.Duration `json:"time-to-live"`
	// Leaving says that the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Call is one task to run.
type Call struct {
	Upstream   netip.AddrPort
	Path       string
	Submission identifier.Submission
	Task       uint16
	Payload    []byte
	// Deadline is told to the upstream; the context ends the request.
	Deadline time.Time
}

// Reply is a successful answer.
type Reply struct {
	Payload         []byte
	PeakMemoryBytes int64 // PeakMemoryBytes is zero if the upstream reported nothing.
}

// MaxReplyBytes bounds the result of one task.
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

// Call runs one task. Any error means that the task may have started: the kinds
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

// readPayload reads at most one byte more than a reply may have. Results are kept
// for a while, so that the memory of one is no larger than it has to be: io.ReadAll
// alone would take 512 bytes for the smallest. A negative length is not known.
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

// callError says whether a call ended because of its deadline.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, onceBody{bytes.NewReader(payload)})
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

// onceBody hides the type of the reader from net/http, which would otherwise set
// GetBody and with it allow a replay.
type onceBody struct{ io.Reader }

func peakMemory(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get(HeaderPeakMemory), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
