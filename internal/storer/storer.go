// Package storer is the client of the platform's two services: the transactional
// table service and the object store.
//
// The table is an ordered map from keys to rows. Each row has the revision of the
// transaction that wrote it last. Every transaction on the table increases the
// table's revision by one; 0 is the revision of an absent row. A transaction applies
// all its writes or none, and only if every condition matches the current revision of
// its row. The writer chooses a request id for each transaction. The table answers a
// repeated request id with the outcome of the first request, so that a write whose
// answer was lost can be retried safely.
package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"sardinelock.dev/sardinelock/internal/timer"
)

// Row is one row of the table.
type Row struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"revision"`
}

// Condition requires a row to have the given revision; 0 requires it to be absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Put writes a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a conditional write of several rows.
type Transaction struct {
	// RequestID is unique to the transaction and the same in all attempts.
	RequestID  string      `json:"request-id"`
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// Outcome is the outcome of a transaction.
type Outcome struct {
	Applied bool `json:"applied"`
	// Revision is the transaction's revision if it was applied.
	Revision uint64 `json:"revision"`
	// Conflicts lists the current rows whose condition failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Range is a consistent snapshot of the rows whose keys have a prefix.
type Range struct {
	Rows []Row `json:"rows"`
	// Revision is the revision of the whole table at the time of the snapshot.
	Revision uint64 `json:"revision"`
}

// Client calls the platform.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	retries int
	// Sleep waits for the backoff between attempts. Tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
	// Observe is called after every attempt, on the caller's goroutine. The kind is
	// empty if the attempt succeeded.
	Observe func(op string, kind Kind)
}

const (
	defaultTimeout   = 2 * time.Second
	defaultRetries   = 3
	initialBackoff   = 100 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// New returns a client for the platform at the given address.
func New(addr netip.AddrPort) *Client {
	return &Client{
		base:    "http://" + addr.String(),
		http:    &http.Client{},
		timeout: defaultTimeout,
		retries: defaultRetries,
		Sleep:   timer.Sleep,
		Observe: func(string, Kind) {},
	}
}

// NewRequestID returns a new unique id for a transaction.
func NewRequestID() string { return uuid.NewString() }

// Read returns the rows whose keys start with the prefix, in key order.
func (c *Client) Read(ctx context.Context, prefix string) (Range, error) {
	var r Range
	err := c.call(ctx, "read", http.MethodGet, "/v1/table?prefix="+url.QueryEscape(prefix), nil, &r)
	return r, err
}

// Write applies a transaction. If the answer is lost, Write retries with the same
// request id. After an error of kind [KindUnavailable] the transaction may or may not
// have taken effect.
func (c *Client) Write(ctx context.Context, t Transaction) (Outcome, error) {
	var o Outcome
	body, err := json.Marshal(t)
	if err != nil {
		return o, &Error{Op: "write", Kind: KindInvalid, Err: err}
	}
	err = c.call(ctx, "write", http.MethodPost, "/v1/table/transactions", body, &o)
	return o, err
}

// PutObject stores an object under a key, replacing any existing object.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.call(ctx, "put-object", http.MethodPut, "/v1/objects/"+url.PathEscape(key), body, nil)
}

// Object returns the object with the given key. The error is of kind [KindAbsent] if
// there is none.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	var raw rawBody
	err := c.call(ctx, "object", http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil, &raw)
	return raw, err
}

// Objects returns the object keys that start with the prefix, in order.
func (c *Client) Objects(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.call(ctx, "objects", http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, &keys)
	return keys, err
}

// rawBody receives the body of an answer without decoding.
type rawBody []byte

func (c *Client) call(ctx context.Context, op, method, path string, body []byte, out any) error {
	var err error
	for attempt := range c.retries + 1 {
		if attempt > 0 {
			c.Sleep(ctx, initialBackoff<<(attempt-1))
		}
		err = c.callOnce(ctx, op, method, path, body, out)
		c.Observe(op, KindOf(err))
		if KindOf(err) != KindUnavailable || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *Client) callOnce(ctx context.Context, op, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return decodeResponse(op, resp.StatusCode, respBody, out)
}

func decodeResponse(op string, status int, body []byte, out any) error {
	switch {
	case status == http.StatusNotFound:
		return &Error{Op: op, Kind: KindAbsent, Err: statusError(status)}
	case status >= 500:
		return &Error{Op: op, Kind: KindUnavailable, Err: statusError(status)}
	case status >= 300:
		return &Error{Op: op, Kind: KindInvalid, Err: statusError(status)}
	}
	switch out := out.(type) {
	case nil:
		return nil
	case *rawBody:
		*out = body
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return nil
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }
