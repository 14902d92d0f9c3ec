package submitter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// State is the stage of a job.
type State string

// The states of a job.
const (
	StateOpen     State = "open"
	StateAnswered State = "answered"
	// StateRecovered: upstreams ran tasks of the job for a former owner, and the job
	// has not been submitted again since.
	StateRecovered State = "recovered"
)

// JobState is the state of a job and the progress of its tasks.
type JobState struct {
	SubmissionID string `json:"submission-id"`
	Service      string `json:"service"`
	Team         string `json:"team"`
	State        State  `json:"state"`
	// Made is the time at which the submission id was generated.
	Made time.Time `json:"made"`
	// Tasks, Waiting, Running and Done count the tasks of an open job: all tasks, those
	// waiting to be scheduled, those at an upstream, and those that have succeeded.
	Tasks   int `json:"tasks,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	Running int `json:"running,omitempty"`
	Done    int `json:"done,omitempty"`
	// Answer is set if and only if the state is answered.
	Answer *Answer `json:"answer,omitempty"`
}

// Job returns the state of a job of the caller's team. It tries the entries in order. An
// error is of type [*Error].
func (c *Client) Job(ctx context.Context, id string) (JobState, error) {
	return c.jobCall(ctx, "job", http.MethodGet, id)
}

// Cancel cancels a job of the caller's team and returns its state. It does not change
// an answered job. It tries the entries in order. An error is of type [*Error].
func (c *Client) Cancel(ctx context.Context, id string) (JobState, error) {
	return c.jobCall(ctx, "cancel", http.MethodDelete, id)
}

func (c *Client) jobCall(ctx context.Context, op, method, id string) (JobState, error) {
	var err error
	for _, entry := range c.entries {
		var state JobState
		state, err = c.jobOnce(ctx, op, method, entry, id)
		if KindOf(err) != KindUnreachable {
			return state, err
		}
	}
	return JobState{}, err
}

func (c *Client) jobOnce(ctx context.Context, op, method string, entry netip.AddrPort, id string) (JobState, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL(entry)+"/v1/jobs/"+id, nil)
	if err != nil {
		return JobState{}, &Error{Op: op, Kind: KindInvalid, Err: err}
	}
	resp, text, err := c.exchange(op, req)
	if err != nil {
		return JobState{}, err
	}
	if resp.StatusCode != http.StatusOK {
		_, err := decodeAnswer(op, resp, text)
		return JobState{}, err
	}
	var state JobState
	if err := json.Unmarshal(text, &state); err != nil {
		return JobState{}, &Error{Op: op, Kind: KindUnreachable, Err: err}
	}
	return state, nil
}
