package loader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

const (
	progressInterval = time.Second
	cancelTimeout    = 10 * time.Second
	idleConnections  = 256
)

// request records a request that was sent and its answer. A submission that is sent
// twice has two requests.
type request struct {
	jobIndex   int // index in the schedule
	submission string
	duplicate  bool
	answer     submitter.Answer
	latency    time.Duration // since the scheduled time of sending
	end        time.Duration // since the start of the run
	unanswered bool          // no answer, or none that can be decoded
	rejected   string        // status and title of the problem; empty if none
}

// runner runs an experiment once.
type runner struct {
	experiment *Experiment
	target     Target
	jobs       []plannedJob
	started    time.Time
	http       *http.Client
	progress   io.Writer

	wg          sync.WaitGroup
	sent        atomic.Int64
	outstanding atomic.Int64
	answered    atomic.Int64

	mu       sync.Mutex
	requests []request
	notSent  int // arrivals beyond MaxOutstanding
	steps    []StepResult
}

// StepResult is the result of a step.
type StepResult struct {
	At    time.Duration `json:"-"`
	Do    Action        `json:"do"`
	Error string        `json:"error,omitempty"`
}

// Run runs an experiment against a target and returns its result. Progress lines are
// written to progress, which may be nil.
func Run(ctx context.Context, x Experiment, t Target, progress io.Writer) (*Result, error) {
	if err := t.check(&x); err != nil {
		return nil, err
	}
	jobs, err := schedule(&x)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: progressInterval}
	defer transport.CloseIdleConnections()
	r := &runner{
		experiment: &x,
		target:     t,
		jobs:       jobs,
		http:       &http.Client{Transport: transport},
		progress:   progress,
	}
	before := r.peerTraffic()
	r.started = time.Now()
	r.run(ctx)
	after := r.peerTraffic()
	return r.result(PeerTraffic{Count: after.Count - before.Count, Bytes: after.Bytes - before.Bytes})
}

func (r *runner) peerTraffic() PeerTraffic {
	if r.target.PeerTraffic == nil {
		return PeerTraffic{}
	}
	return r.target.PeerTraffic()
}

// run sends every job at its scheduled time and waits for the answers.
func (r *runner) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Duration+r.experiment.Settle)
	defer cancel()
	stop := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() { r.report(stop) })
	for _, s := range r.experiment.Steps {
		r.wg.Go(func() { r.step(ctx, s) })
	}
	for i := range r.jobs {
		if !r.sleepUntil(ctx, r.jobs[i].arrival) {
			break
		}
		if r.outstanding.Load() >= int64(r.experiment.MaxOutstanding) {
			r.mu.Lock()
			r.notSent++
			r.mu.Unlock()
			continue
		}
		r.send(ctx, i)
	}
	r.wg.Wait()
	close(stop)
	reporter.Wait()
}

// sleepUntil waits until the given time since the start of the run. It reports false
// if the context ends first.
func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := at - time.Since(r.started)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// send starts the requests of one job: its submission, and its resubmission and
// cancellation if it has them.
func (r *runner) send(ctx context.Context, index int) {
	p := &r.jobs[index]
	id := submitter.NewSubmissionID(p.requestKey)
	body := p.submission()
	r.submit(ctx, index, id, body, p.arrival, false)
	if p.duplicateDelay > 0 {
		r.wg.Go(func() {
			if r.sleepUntil(ctx, p.arrival+p.duplicateDelay) {
				r.submit(ctx, index, id, body, p.arrival+p.duplicateDelay, true)
			}
		})
	}
	if p.cancelDelay > 0 {
		r.wg.Go(func() {
			if r.sleepUntil(ctx, p.arrival+p.cancelDelay) {
				r.cancel(ctx, p, id)
			}
		})
	}
}

// submit sends one request in the background. A resubmission goes to the next entry.
func (r *runner) submit(ctx context.Context, index int, id string, body submitter.Job, at time.Duration, duplicate bool) {
	p := &r.jobs[index]
	r.sent.Add(1)
	r.outstanding.Add(1)
	r.wg.Go(func() {
		defer r.outstanding.Add(-1)
		client := submitter.New(submitter.Options{
			Entries: r.entriesFrom(p.firstEntry, duplicate),
			Team:    p.team,
			Token:   r.token(p),
			HTTP:    r.http,
		})
		answer, err := client.Submit(ctx, p.service, id, body)
		end := time.Since(r.started)
		out := request{
			jobIndex: index, submission: id, duplicate: duplicate,
			answer: answer, latency: end - at, end: end,
		}
		out.classify(err, answer)
		if !out.unanswered {
			r.answered.Add(1)
		}
		r.mu.Lock()
		r.requests = append(r.requests, out)
		r.mu.Unlock()
	})
}

// cancel asks the job's entry to cancel the job. The job's answer shows whether the
// cancellation was in time.
func (r *runner) cancel(ctx context.Context, p *plannedJob, id string) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	entry := r.target.Entries[p.firstEntry%len(r.target.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry.String()+"/v1/jobs/"+id, nil)
	if err != nil {
		return
	}
	if p.team != "" {
		req.Header.Set(submitter.HeaderTeam, p.team)
	}
	if token := r.token(p); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if resp, err := r.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// token returns the bearer token of a job's team; it is empty if there is none.
func (r *runner) token(p *plannedJob) string {
	if r.target.Token == "" && p.team != "" && r.experiment.TokenSuffix != "" {
		return p.team + r.experiment.TokenSuffix
	}
	return r.target.Token
}

func (r *runner) step(ctx context.Context, s Step) {
	if !r.sleepUntil(ctx, s.At) {
		return
	}
	result := StepResult{At: time.Since(r.started), Do: s.Do}
	if err := r.target.Step(ctx, s); err != nil {
		result.Error = err.Error()
	}
	r.mu.Lock()
	r.steps = append(r.steps, result)
	r.mu.Unlock()
}

// report writes a progress line every second until stop is closed.
func (r *runner) report(stop <-chan struct{}) {
	if r.progress == nil {
		<-stop
		return
	}
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	last := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			answered := r.answered.Load()
			fmt.Fprintf(r.progress, "%4.0fs sent %d of %d, answered %d (%d/s), outstanding %d\n",
				time.Since(r.started).Seconds(), r.sent.Load(), len(r.jobs), answered, answered-last, r.outstanding.Load())
			last = answered
		}
	}
}
