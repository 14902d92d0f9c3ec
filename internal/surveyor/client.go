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

// clientsInFlight is the number of jobs among which the memory of one is measured.
const clientsInFlight = 50

// entryFunc stands for an entry on the client's side of HTTP, so that what is
// measured is the client library alone.
type entryFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements [http.RoundTripper].
func (f entryFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// clientSlopes measures the client library by the tasks of a job: its memory while
// the job is in flight, and its processor time to submit it and to read the answer.
func clientSlopes() ([]Slope, error) {
	m := newMeters("task of a job", meter{"client-job-bytes", "B"}, meter{"client-job-time", "us"})
	for _, n := range taskCounts {
		spent, err := clientTime(n)
		if err != nil {
			return nil, err
		}
		m.add(float64(n), clientMemory(n), spent)
	}
	return m.slopes(), nil
}

// clientTime returns the mean time of a job that is answered at once, in
// microseconds.
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
	var fault error
	spent := microseconds(func() {
		a, err := client.Submit(context.Background(), "quote", "", clientJob(tasks))
		if err == nil && (a.Outcome != submitter.OutcomeComplete || len(a.Results) != tasks) {
			err = &Error{Op: "client", Kind: KindSystem, Err: errors.Errorf("%s with %d results", a.Outcome, len(a.Results))}
		}
		if err != nil {
			fault = err
		}
	})
	return spent, fault
}

// clientMemory returns the memory of one job that waits for its answer, in bytes.
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
	size := heapOf(func() any {
		for range clientsInFlight {
			arrived.Add(1)
			ended.Go(func() { _, _ = client.Submit(ctx, "quote", "", clientJob(tasks)) })
		}
		arrived.Wait()
		return client
	})
	return size / clientsInFlight
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
