package submitter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// Client submits jobs to entries.
type Client struct {
	entries []netip.AddrPort
	team    string
	token   string
	tls     bool
	http    *http.Client
	// Sleep is the seam for the pause between tries; tests replace it.
	Sleep func(ctx context.Context, d time.Duration)
}

// Options describe a client.
type Options struct {
	// Entries are the callers' addresses of entries; they are tried in order.
	Entries []netip.AddrPort
	// Team names the caller's team where the entries ask for no token.
	Team string
	// Token is the team's bearer token; empty sends none.
	Token string
	// TLS says that the entries serve with TLS. HTTP brings the authorities then.
	TLS bool
	// HTTP is the client to use; nil means one of the package's own.
	HTTP *http.Client
}

const (
	maxTries   = 5
	maxIDs     = 10 // maxIDs bounds the ids that one job is submitted under.
	retryPause = 50 * time.Millisecond
)

// New returns a client. Options.Entries must not be empty.
func New(o Options) *Client {
	c := &Client{entries: o.Entries, team: o.Team, token: o.Token, tls: o.TLS, http: o.HTTP, Sleep: sleep}
	if c.http == nil {
		c.http = &http.Client{}
	}
	return c
}

// NewSubmissionID returns a submission id made now for a job with the request
// key. An empty key allows any id.
func NewSubmissionID(key string) string {
	id, ok := identifier.NewForKey(time.Now(), key)
	if !ok {
		// The entry then refuses the id; it never runs under another key's owner.
		id = identifier.New(time.Now())
	}
	return id.String()
}

// Submit submits a job and waits for its answer. After a lost connection the same
// id is submitted again, through the next entry; if no entry answers in the end,
// the outcome is unknown. An empty id makes one, and makes another where an owner
// was replaced and the job did not run. An error means that the request was no
// valid submission; it is of type [*Error].
func (c *Client) Submit(ctx context.Context, service, id string, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, &Error{Op: "submit", Kind: KindInvalid, Err: err}
	}
	if id != "" {
		return c.submit(ctx, service, id, body)
	}
	for try := 1; ; try++ {
		answer, err := c.submit(ctx, service, NewSubmissionID(job.RequestKey), body)
		replaced := answer.Outcome == OutcomeNotRun && answer.Reason == ReasonOwnerChanged
		if err != nil || !replaced || try == maxIDs || ctx.Err() != nil {
			return answer, err
		}
		c.Sleep(ctx, time.Duration(answer.RetryAfter))
	}
}

// submit submits a job under one id until an entry answers.
func (c *Client) submit(ctx context.Context, service, id string, body []byte) (Answer, error) {
	for try := range maxTries {
		if try > 0 {
			c.Sleep(ctx, retryPause<<(try-1))
		}
		entry := c.entries[try%len(c.entries)]
		answer, err := c.submitOnce(ctx, entry, service, id, body)
		if KindOf(err) != KindUnreachable {
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return unanswered(id), nil
}

// unanswered is what the client can say when no entry answered.
func unanswered(id string) Answer {
	return Answer{
		SubmissionID: id,
		Outcome:      OutcomeUnknown,
		Reason:       ReasonConnectionLost,
		Detail:       "no entry answered; the job may have run",
	}
}

func (c *Client) submitOnce(ctx context.Context, entry netip.AddrPort, service, id string, body []byte) (Answer, error) {
	const op = "submit"
	url := c.url(entry) + "/v1/services/" + service + "/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSubmissionID, id)
	resp, text, err := c.exchange(op, req)
	if err != nil {
		return Answer{}, err
	}
	return decodeAnswer(op, resp, text)
}

// exchange sends a request and returns the response with its whole body. An error
// is of kind [KindUnreachable]: the request may have had its effect.
func (c *Client) exchange(op string, req *http.Request) (*http.Response, []byte, error) {
	c.identify(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	return resp, text, nil
}

// identify says who the caller is.
func (c *Client) identify(req *http.Request) {
	if c.team != "" {
		req.Header.Set(HeaderTeam, c.team)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}

// url returns the base of an entry's URLs.
func (c *Client) url(entry netip.AddrPort) string {
	if c.tls {
		return "https://" + entry.String()
	}
	return "http://" + entry.String()
}

func decodeAnswer(op string, resp *http.Response, text []byte) (Answer, error) {
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p Problem
		if err := json.Unmarshal(text, &p); err != nil {
			return Answer{}, &Error{Op: op, Kind: KindUnreachable, Err: err}
		}
		return Answer{}, &Error{Op: op, Kind: KindRejected, Problem: &p}
	}
	var a Answer
	if err := json.Unmarshal(text, &a); err != nil {
		return Answer{}, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	return a, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
