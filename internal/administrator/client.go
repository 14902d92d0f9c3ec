package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// maxAnswerBytes bounds the size of a response from the administration API.
const maxAnswerBytes = 64 << 20

// Client calls the administration API.
type Client struct {
	o ClientOptions
}

// ClientOptions configures a [Client].
type ClientOptions struct {
	// Addrs are administration addresses of entries, which the client tries in order.
	Addrs []netip.AddrPort
	// Token is the operator's bearer token; empty sends none.
	Token string
	// TLS selects https. HTTP must then be configured with the certificate
	// authorities.
	TLS bool
	// HTTP is the underlying HTTP client.
	HTTP *http.Client
}

// NewClient returns a client. ClientOptions.Addrs must not be empty.
func NewClient(o ClientOptions) *Client { return &Client{o: o} }

// Get reads a path and decodes the JSON response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	text, err := c.call(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, out); err != nil {
		return &Error{Op: "get", Kind: KindAnswer, Err: err}
	}
	return nil
}

// Text returns the response for a path without decoding it.
func (c *Client) Text(ctx context.Context, path string) ([]byte, error) {
	return c.call(ctx, request{method: http.MethodGet, path: path})
}

// Change makes a change under a change id. If a response is lost, it repeats the
// request with the same id at the next address.
func (c *Client) Change(ctx context.Context, path, changeID string) (Changed, error) {
	var out Changed
	text, err := c.call(ctx, request{method: http.MethodPost, path: path, changeID: changeID})
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(text, &out); err != nil {
		return out, &Error{Op: "change", Kind: KindAnswer, Err: err}
	}
	return out, nil
}

// request is a request to the API.
type request struct {
	method, path, changeID string
	body                   []byte // JSON; nil sends no body.
}

func (c *Client) call(ctx context.Context, r request) ([]byte, error) {
	var err error
	for _, addr := range c.o.Addrs {
		var text []byte
		text, err = c.callOne(ctx, addr, r)
		if KindOf(err) != KindUnreachable {
			return text, err
		}
	}
	return nil, err
}

func (c *Client) callOne(ctx context.Context, addr netip.AddrPort, r request) ([]byte, error) {
	const op = "call"
	scheme := "http://"
	if c.o.TLS {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, r.method, scheme+addr.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindAnswer, Err: err}
	}
	if c.o.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.o.Token)
	}
	if r.changeID != "" {
		req.Header.Set(HeaderChangeID, r.changeID)
	}
	resp, err := c.o.HTTP.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	// An error response has the content type application/problem+json. A response
	// with application/json is a result, whatever its status.
	if resp.StatusCode != http.StatusOK && resp.Header.Get("Content-Type") != "application/json" {
		return nil, rejected(op, resp.StatusCode, text)
	}
	return text, nil
}

func rejected(op string, status int, body []byte) error {
	var p submitter.Problem
	if json.Unmarshal(body, &p) != nil || p.Title == "" {
		return &Error{Op: op, Kind: KindRejected, Err: errors.Errorf("status %d", status)}
	}
	text := []string{"status " + strconv.Itoa(status)}
	for _, part := range []string{p.Title, p.Field, p.Detail} {
		if part != "" {
			text = append(text, part)
		}
	}
	return &Error{Op: op, Kind: KindRejected, Err: errors.New(strings.Join(text, ": "))}
}
