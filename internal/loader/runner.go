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
	progressEvery   = time.Second
	cancelTimeout   = 10 * time.Second
	idleConnections = 256
)

// request is one request that was sent and what became of it. Requests with the
// same submission differ in which try they are.
type request struct {
	job        int // job is the index in the schedule.
	submission string
	duplicate  bool
	answer     submitter.Answer
	latency    time.Duration // latency counts from the intended start.
	end        time.Duration // end counts from the begin of the run.
	lost       bool          // lost means that no answer could be read.
	rejected   string        // rejected has the status and title of a problem; empty for none.
}

// runner is one run of an experiment.
type runner struct {
	experiment *Experiment
	target     Target
	jobs       []planned
	begun      time.Time
	http       *http.Client
	progress   io.Writer

	wg          sync.WaitGroup
	sent        atomic.Int64
	outstanding atomic.Int64
	answered    atomic.Int64

	mu       sync.Mutex
	requests []request
	shed     int // shed counts arrivals that were not sent.
	steps    []StepResult
}

// StepResult is one step as it was carried out.
type StepResult struct {
	At    time.Duration `json:"-"`
	Do    Action        `json:"do"`
	Error string        `json:"error,omitempty"`
}

// Run runs an experiment against a target and returns what was seen. Progress
// lines go to the writer, which may be nil.
func Run(ctx context.Context, x Experiment, t Target, progress io.Writer) (*Result, error) {
	if err := t.check(&x); err != nil {
		return nil, err
	}
	jobs, err := schedule(&x)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: progressEvery}
	defer transport.CloseIdleConnections()
	r := &runner{
		experiment: &x,
		target:     t,
		jobs:       jobs,
		http:       &http.Client{Transport: transport},
		progress:   progress,
	}
	before := r.messages()
	r.begun = time.Now()
	r.run(ctx)
	after := r.messages()
	return r.result(PeerTraffic{Count: after.Count - before.Count, Bytes: after.Bytes - before.Bytes})
}

func (r *runner) messages() PeerTraffic {
	if r.target.PeerTraffic == nil {
		return PeerTraffic{}
	}
	return r.target.PeerTraffic()
}

// run sends every job at its time and waits for the answers.
func (r *runner) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.experiment.Duration+r.experiment.Settle)
	defer cancel()
	quiet := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() { r.report(quiet) })
	for _, s := range r.experiment.Steps {
		r.wg.Go(func() { r.step(ctx, s) })
	}
	for i := range r.jobs {
		if !r.sleepUntil(ctx, r.jobs[i].at) {
			break
		}
		if r.outstanding.Load() >= int64(r.experiment.MaxOutstanding) {
			r.mu.Lock()
			r.shed++
			r.mu.Unlock()
			continue
		}
		r.send(ctx, i)
	}
	r.wg.Wait()
	close(quiet)
	reporting.Wait()
}

// sleepUntil waits for a time of the run and reports false if the run ended.
func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := at - time.Since(r.begun)
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

// send begins the requests of one job.
func (r *runner) send(ctx context.Context, index int) {
	p := &r.jobs[index]
	id := submitter.NewSubmissionID(p.key)
	body := p.job()
	r.submit(ctx, index, id, body, p.at, false)
	if p.duplicate > 0 {
		r.wg.Go(func() {
			if r.sleepUntil(ctx, p.at+p.duplicate) {
				r.submit(ctx, index, id, body, p.at+p.duplicate, true)
			}
		})
	}
	if p.cancel > 0 {
		r.wg.Go(func() {
			if r.sleepUntil(ctx, p.at+p.cancel) {
				r.cancel(ctx, p, id)
			}
		})
	}
}

// submit sends one request. A resubmission goes to the next entry.
func (r *runner) submit(ctx context.Context, index int, id string, body submitter.Job, at time.Duration, duplicate bool) {
	p := &r.jobs[index]
	r.sent.Add(1)
	r.outstanding.Add(1)
	r.wg.Go(func() {
		defer r.outstanding.Add(-1)
		client := submitter.New(submitter.Options{
			Entries: r.entriesFrom(p.entry, duplicate),
			Team:    p.team,
			Token:   r.token(p),
			HTTP:    r.http,
		})
		answer, err := client.Submit(ctx, p.service, id, body)
		end := time.Since(r.begun)
		out := request{
			job: index, submission: id, duplicate: duplicate,
			answer: answer, latency: end - at, end: end,
		}
		out.classify(err, answer)
		if !out.lost {
			r.answered.Add(1)
		}
		r.mu.Lock()
		r.requests = append(r.requests, out)
		r.mu.Unlock()
	})
}

// cancel asks the job's entry to cancel it. Whether that came in time shows in
// the job's answer.
func (r *runner) cancel(ctx context.Context, p *planned, id string) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	entry := r.target.Entries[p.entry%len(r.target.Entries)]
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

// token returns the bearer token of a job's team; empty if there is none.
func (r *runner) token(p *planned) string {
	if r.target.Token == "" && p.team != "" && r.experiment.TokenSuffix != "" {
		return p.team + r.experiment.TokenSuffix
	}
	return r.target.Token
}

func (r *runner) step(ctx context.Context, s Step) {
	if !r.sleepUntil(ctx, s.At) {
		return
	}
	done := StepResult{At: time.Since(r.begun), Do: s.Do}
	if err := r.target.Step(ctx, s); err != nil {
		done.Error = err.Error()
	}
	r.mu.Lock()
	r.steps = append(r.steps, done)
	r.mu.Unlock()
}

// report writes a progress line a second until quiet is closed.
func (r *runner) report(quiet <-chan struct{}) {
	if r.progress == nil {
		<-quiet
		return
	}
	t := time.NewTicker(progressEvery)
	defer t.Stop()
	last := int64(0)
	for {
		select {
		case <-quiet:
			return
		case <-t.C:
			answered := r.answered.Load()
			fmt.Fprintf(r.progress, "%4.0fs sent %d of %d, answered %d (%d/s), outstanding %d\n",
				time.Since(r.begun).Seconds(), r.sent.Load(), len(r.jobs), answered, answered-last, r.outstanding.Load())
			last = answered
		}
	}
}
