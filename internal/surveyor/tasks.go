package surveyor

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/timer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Parameters of the load under which the cost of jobs is measured.
const (
	loadAgents  = 11
	loadCallers = 8
	warmUpJobs  = 4
	taskRunTime = "1ms"
)

// MeasureTasks measures the processor time, messages and bytes of one job at the entry
// process o.PID, by the number of tasks of the job, which o.Sizes lists.
func MeasureTasks(ctx context.Context, entry, caller netip.AddrPort, o Options) ([]Slope, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &agentGroup{options: o, entries: []netip.AddrPort{entry}, upstream: httptest.NewServer(emulator.NewUpstream(emulator.UpstreamOptions{Slots: slotsPerUpstream}))}
	defer c.upstream.Close()
	defer c.wg.Wait()
	defer cancel()
	if err := c.growTo(ctx, loadAgents); err != nil {
		return nil, err
	}
	timer.Sleep(ctx, settleTime)
	m := newMeters("task of a job",
		meter{"entry-job-time", "us"}, meter{"entry-load-resident", "B"},
		meter{"job-messages", "1"}, meter{"job-bytes", "B"})
	for _, n := range o.Sizes {
		jobs := 0
		runLoad := func(ctx context.Context) error {
			var err error
			jobs, err = submitJobs(ctx, caller, n)
			return err
		}
		if err := awaitComplete(ctx, caller, n); err != nil {
			return nil, err
		}
		loadCtx, stop := context.WithTimeout(ctx, o.MeasurementDuration)
		loadDone := make(chan error, 1)
		go func() { loadDone <- runLoad(loadCtx) }()
		r, err := measure(ctx, o, c.traffic)
		stop()
		if err == nil {
			err = <-loadDone
		}
		if err != nil {
			return nil, err
		}
		perJob := r.elapsed.Seconds() / float64(jobs)
		m.add(float64(n), r.cores*perJob*1e6, r.resident, r.messages*perJob, r.bytes*perJob)
	}
	return m.slopes(), nil
}

// awaitComplete submits jobs until warmUpJobs have completed, so that the system is
// ready and warmed up.
func awaitComplete(ctx context.Context, caller netip.AddrPort, tasks int) error {
	client := submitter.New(submitter.Options{Entries: []netip.AddrPort{caller}})
	deadline := time.Now().Add(readyTimeout)
	complete := 0
	for complete < warmUpJobs {
		a, err := client.Submit(ctx, "quote", "", jobOf(tasks))
		if err == nil && a.Outcome == submitter.OutcomeComplete {
			complete++
			continue
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return &Error{Op: "load", Kind: KindSystem, Err: errors.Errorf("no job completes: %v %s %s", err, a.Outcome, a.Detail)}
		}
		timer.Sleep(ctx, readyPoll)
	}
	return nil
}

// submitJobs submits jobs from several callers until the context ends and
// returns how many completed.
func submitJobs(ctx context.Context, caller netip.AddrPort, tasks int) (int, error) {
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		done      int
		submitErr error
	)
	transport := &http.Transport{MaxIdleConnsPerHost: loadCallers}
	defer transport.CloseIdleConnections()
	client := submitter.New(submitter.Options{Entries: []netip.AddrPort{caller}, HTTP: &http.Client{Transport: transport}})
	for range loadCallers {
		wg.Go(func() {
			for ctx.Err() == nil {
				// A submitted job is awaited even after the context ends, so that every
				// job counts in full.
				a, err := client.Submit(context.WithoutCancel(ctx), "quote", "", jobOf(tasks))
				if err == nil && a.Outcome != submitter.OutcomeComplete {
					err = errors.Errorf("%s: %s: %s", a.Outcome, a.Reason, a.Detail)
				}
				mu.Lock()
				if err == nil {
					done++
				} else {
					submitErr = &Error{Op: "load", Kind: KindSystem, Err: err}
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	if submitErr == nil && done == 0 {
		submitErr = &Error{Op: "load", Kind: KindSystem, Err: errors.New("no job completed")}
	}
	return done, submitErr
}

func jobOf(tasks int) submitter.Job {
	job := submitter.Job{Tasks: make([]submitter.Task, tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = submitter.Task{
			Payload:     json.RawMessage(`{"run-time":"` + taskRunTime + `"}`),
			RunTime:     submitter.Duration(time.Millisecond),
			MemoryBytes: 1 << 20,
		}
	}
	return job
}
