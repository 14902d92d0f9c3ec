// Package storer is the client of the platform's two services: the
// transactional table service and the object store.
//
// The table is an ordered map from keys to rows. Each row has the revision of
// the transaction that wrote it last; revisions grow by one a transaction over
// the whole table, and 0 is the revision of an absent row. A transaction applies
// all its writes or none, and only if every condition names the row's present
// revision. It carries a request id chosen by the writer: the table answers a
// repeated request id with the outcome of the first, so that a write whose answer
// was lost is resolved by asking again.
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

// Condition requires a row to have a revision; 0 requires it to be absent.
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
	// RequestID is unique to the transaction and the same in each try of it.
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
	// Conflicts lists rows whose condition failed, as they are.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Range is the rows below a key prefix at one moment.
type Range struct {
	Rows []Row `json:"rows"`
	// Revision is the revision of the whole table when it was read.
	Revision uint64 `json:"revision"`
}

// Client calls the platform.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	retries int
	// Sleep is the seam for the pause between tries; tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
	// Observe is told the outcome of every try; the kind is empty if it went well.
	// It is called on the caller's goroutine.
	Observe func(op string, kind Kind)
}

const (
	defaultTimeout = 2 * time.Second
	defaultRetries = 3
	retryPause     = 100 * time.Millisecond
	maxAnswerBytes = 64 << 20
)

// New returns a client of the platform at the given address.
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

// NewRequestID returns an id for a transaction.
func NewRequestID() string { return uuid.NewString() }

// Read returns the rows whose keys start with the prefix, in key order.
func (c *Client) Read(ctx context.Context, prefix string) (Range, error) {
	var r Range
	err := c.call(ctx, "read", http.MethodGet, "/v1/table?prefix="+url.QueryEscape(prefix), nil, &r)
	return r, err
}

// Write applies a transaction. A lost answer is retried with the same request
// id. An error of kind [KindUnavailable] leaves open whether the transaction
// took effect.
func (c *Client) Write(ctx context.Context, t Transaction) (Outcome, error) {
	var o Outcome
	body, err := json.Marshal(t)
	if err != nil {
		return o, &Error{Op: "write", Kind: KindInvalid, Err: err}
	}
	err = c.call(ctx, "write", http.MethodPost, "/v1/table/transactions", body, &o)
	return o, err
}

// PutObject stores an object under a key, replacing what was there.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.call(ctx, "put-object", http.MethodPut, "/v1/objects/"+url.PathEscape(key), body, nil)
}

// Object returns an object. The error is of kind [KindAbsent] if there is none.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	var raw rawBody
	err := c.call(ctx, "object", http.MethodGet, "/v1/objects/"+url.PathEscape(key), nil, &raw)
	return raw, err
}

// Objects returns the keys of the objects that start with the prefix, in order.
func (c *Client) Objects(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.call(ctx, "objects", http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, &keys)
	return keys, err
}

// rawBody receives an answer's body as it is.
type rawBody []byte

func (c *Client) call(ctx context.Context, op, method, path string, body []byte, out any) error {
	var err error
	for try := range c.retries + 1 {
		if try > 0 {
			c.Sleep(ctx, retryPause<<(try-1))
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return decodeAnswer(op, resp.StatusCode, answer, out)
}

func decodeAnswer(op string, status int, answer []byte, out any) error {
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
		*out = answer
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return nil
}

type statusError int

func (s statusError) Error() string { return "status " + strconv.Itoa(int(s)) }
