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
	// Sleep waits between attempts, until the context ends at the latest. Tests
	// replace it.
	Sleep func(ctx context.Context, d time.Duration)
}

// Options describe a client.
type Options struct {
	// Entries are the addresses at which entries accept callers, tried in order.
	Entries []netip.AddrPort
	// Team is the name of the caller's team, for entries that require no token.
	Team string
	// Token is the team's bearer token; if empty, none is sent.
	Token string
	// TLS selects HTTPS. The certificate authorities are then those of HTTP.
	TLS bool
	// HTTP is the HTTP client to use; if nil, a new one is created.
	HTTP *http.Client
}

const (
	maxAttempts      = 5
	maxSubmissionIDs = 10 // submission ids for one job
	retryBackoff     = 50 * time.Millisecond
)

// New returns a client. Options.Entries must not be empty.
func New(o Options) *Client {
	c := &Client{entries: o.Entries, team: o.Team, token: o.Token, tls: o.TLS, http: o.HTTP, Sleep: sleep}
	if c.http == nil {
		c.http = &http.Client{}
	}
	return c
}

// NewSubmissionID returns a new submission id for a job with the given request key,
// which is empty if the job has none.
func NewSubmissionID(key string) string {
	id, ok := identifier.NewForKey(time.Now(), key)
	if !ok {
		// The id does not match the key. The entry rejects it, so that the job cannot
		// run at an owner that does not know other submissions of the key.
		id = identifier.New(time.Now())
	}
	return id.String()
}

// Submit submits a job and waits for its answer. After a lost connection it submits the
// same id again, through the next entry; if all attempts fail, the outcome is unknown.
// If id is empty, Submit generates one, and a new one whenever the job did not run
// because its owner was replaced. An error is of type [*Error] and means that the
// request was not a valid submission.
func (c *Client) Submit(ctx context.Context, service, id string, job Job) (Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return Answer{}, &Error{Op: "submit", Kind: KindInvalid, Err: err}
	}
	if id != "" {
		return c.submit(ctx, service, id, body)
	}
	for attempt := 1; ; attempt++ {
		answer, err := c.submit(ctx, service, NewSubmissionID(job.RequestKey), body)
		replaced := answer.Outcome == OutcomeNotRun && answer.Reason == ReasonOwnerChanged
		if err != nil || !replaced || attempt == maxSubmissionIDs || ctx.Err() != nil {
			return answer, err
		}
		c.Sleep(ctx, time.Duration(answer.RetryAfter))
	}
}

// submit submits a job under one id until an entry answers or all attempts fail.
func (c *Client) submit(ctx context.Context, service, id string, body []byte) (Answer, error) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			c.Sleep(ctx, retryBackoff<<(attempt-1))
		}
		entry := c.entries[attempt%len(c.entries)]
		answer, err := c.submitOnce(ctx, entry, service, id, body)
		if KindOf(err) != KindUnreachable {
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return unknownAnswer(id), nil
}

// unknownAnswer returns the answer to a submission that no entry answered.
func unknownAnswer(id string) Answer {
	return Answer{
		SubmissionID: id,
		Outcome:      OutcomeUnknown,
		Reason:       ReasonConnectionLost,
		Detail:       "no entry answered; the job may have run",
	}
}

func (c *Client) submitOnce(ctx context.Context, entry netip.AddrPort, service, id string, body []byte) (Answer, error) {
	const op = "submit"
	url := c.baseURL(entry) + "/v1/services/" + service + "/jobs"
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

// exchange sends a request and returns the response and its complete body. An error is
// of kind [KindUnreachable]; the request may have taken effect nevertheless.
func (c *Client) exchange(op string, req *http.Request) (*http.Response, []byte, error) {
	c.setCredentials(req)
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

// setCredentials sets the headers that identify the caller's team.
func (c *Client) setCredentials(req *http.Request) {
	if c.team != "" {
		req.Header.Set(HeaderTeam, c.team)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
}

// baseURL returns the base of an entry's URLs.
func (c *Client) baseURL(entry netip.AddrPort) string {
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
