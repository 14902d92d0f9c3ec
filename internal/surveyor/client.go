package surveyor

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// jobsInFlight is the number of concurrent jobs over which the memory of one job is
// averaged.
const jobsInFlight = 50

// entryFunc replaces the HTTP transport and the entry behind it, so that only the cost
// of the client library is measured.
type entryFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements [http.RoundTripper].
func (f entryFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// clientSlopes measures the client library by the number of tasks of a job: its memory
// while the job is in flight, and the time to submit it and to decode the answer.
func clientSlopes() ([]Slope, error) {
	m := newMeters("task of a job", meter{"client-job-bytes", "B"}, meter{"client-job-time", "us"})
	for _, n := range taskCounts {
		meanTime, err := clientTime(n)
		if err != nil {
			return nil, err
		}
		m.add(float64(n), clientMemory(n), meanTime)
	}
	return m.slopes(), nil
}

// clientTime returns the mean time in microseconds to submit a job that is answered
// immediately.
func clientTime(tasks int) (float64, error) {
	answer, err := json.Marshal(answerBody(tasks))
	if err != nil {
		return 0, &Error{Op: "client", Kind: KindFormat, Err: err}
	}
	client := clientOf(func(r *http.Request) (*http.Response, error) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
		return responseOf(answer), nil
	})
	var submitErr error
	meanTime := meanMicroseconds(func() {
		a, err := client.Submit(context.Background(), "quote", "", clientJob(tasks))
		if err == nil && (a.Outcome != submitter.OutcomeComplete || len(a.Results) != tasks) {
			err = &Error{Op: "client", Kind: KindSystem, Err: errors.Errorf("%s with %d results", a.Outcome, len(a.Results))}
		}
		if err != nil {
			submitErr = err
		}
	})
	return meanTime, submitErr
}

// clientMemory returns the memory in bytes of one job that waits for its answer.
func clientMemory(tasks int) float64 {
	var arrived, ended sync.WaitGroup
	release := make(chan struct{})
	client := clientOf(func(*http.Request) (*http.Response, error) {
		arrived.Done()
		<-release
		return nil, io.ErrUnexpectedEOF
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer ended.Wait()
	defer close(release)
	defer cancel()
	size := heapGrowth(func() any {
		for range jobsInFlight {
			arrived.Add(1)
			ended.Go(func() { _, _ = client.Submit(ctx, "quote", "", clientJob(tasks)) })
		}
		arrived.Wait()
		return client
	})
	return size / jobsInFlight
}

func clientOf(entry entryFunc) *submitter.Client {
	return submitter.New(submitter.Options{
		Entries: []netip.AddrPort{loopback},
		HTTP:    &http.Client{Transport: entry},
	})
}

func clientJob(tasks int) submitter.Job {
	job := jobOf(tasks)
	for i := range job.Tasks {
		job.Tasks[i].Payload = payload()
	}
	return job
}

func answerBody(tasks int) submitter.Answer {
	a := submitter.Answer{Outcome: submitter.OutcomeComplete}
	for range tasks {
		a.Results = append(a.Results, payload())
	}
	return a
}

func responseOf(body []byte) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       io.NopCloser(bytes.NewReader(body)),
	}
}
