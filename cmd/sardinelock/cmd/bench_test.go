package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// BenchmarkWholePath runs jobs from callers through one entry and eleven agents to
// upstreams and back, over real connections on loopback. The tasks have no run time.
// One operation is one job.
func BenchmarkWholePath(b *testing.B) {
	for _, tasks := range []int{1, 58, 580} {
		b.Run("tasks="+strconv.Itoa(tasks), func(b *testing.B) { benchmarkJobs(b, tasks) })
	}
}

func benchmarkJobs(b *testing.B, tasks int) {
	const callers = 32
	system, client := startSystem(b, 1, 11)
	job := benchmarkJob(tasks)
	submitMany(b, client, job, callers, callers)
	var before, after runtime.MemStats
	trafficBefore := system.Traffic()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	submitMany(b, client, job, b.N, callers)
	b.StopTimer()
	runtime.ReadMemStats(&after)
	trafficAfter := system.Traffic()
	total := float64(b.N * tasks)
	b.ReportMetric(total/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(trafficAfter.MessagesSent-trafficBefore.MessagesSent)/total, "messages/task")
	b.ReportMetric(float64(trafficAfter.BytesSent-trafficBefore.BytesSent)/total, "bytes/task")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "alloc-bytes/task")
}

// BenchmarkAddedLatency sends one task at a time, alternately to the upstream directly
// and through the whole path, and reports the latency that the path adds at the 50th
// and the 99th percentile.
func BenchmarkAddedLatency(b *testing.B) {
	system, client := startSystem(b, 1, 11)
	job := benchmarkJob(1)
	inv := invoker.New(1)
	defer inv.Close()
	call := func() {
		_, err := inv.Call(context.Background(), invoker.Call{
			Upstream: system.UpstreamAddrs()[0], Path: "/quote", Submission: identifier.New(time.Now()),
			Payload: job.Tasks[0].Payload, Deadline: time.Now().Add(time.Minute),
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	const warmUp = 200
	for range warmUp {
		call()
	}
	submitMany(b, client, job, warmUp, 1)
	direct := hdrhistogram.New(1, int64(time.Minute), 3)
	dispatched := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ResetTimer()
	for range b.N {
		recordLatency(b, direct, call)
		recordLatency(b, dispatched, func() { submitMany(b, client, job, 1, 1) })
	}
	for _, q := range []float64{50, 99} {
		added := dispatched.ValueAtQuantile(q) - direct.ValueAtQuantile(q)
		b.ReportMetric(float64(added)/1e6, fmt.Sprintf("ms-added-p%.0f", q))
	}
}

func recordLatency(b *testing.B, h *hdrhistogram.Histogram, call func()) {
	b.Helper()
	start := time.Now()
	call()
	if err := h.RecordValue(int64(time.Since(start))); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkReady starts a whole system of three entries and eleven agents and
// waits until every entry can schedule tasks on every agent.
func BenchmarkReady(b *testing.B) {
	for range b.N {
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		system, err := launcher.Start(ctx, launcher.Options{
			Entries: 3, Agents: 11,
			Limits: entryLimits(), AgentLimits: agentLimits(), Logger: newLogger("error"),
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := system.AwaitReady(ctx); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-to-ready")
		b.StopTimer()
		cancel()
		system.Wait()
		b.StartTimer()
	}
}

// startSystem starts a system that is stopped at the end of the benchmark.
func startSystem(tb testing.TB, entries, agents int) (*launcher.System, *submitter.Client) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	system, err := launcher.Start(ctx, launcher.Options{
		Entries: entries, Agents: agents,
		Limits: entryLimits(), AgentLimits: agentLimits(), Logger: newLogger("error"),
	})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		cancel()
		system.Wait()
	})
	if err := system.AwaitReady(ctx); err != nil {
		tb.Fatal(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	tb.Cleanup(transport.CloseIdleConnections)
	return system, submitter.New(submitter.Options{Entries: system.CallerAddrs(), HTTP: &http.Client{Transport: transport}})
}

func benchmarkJob(tasks int) submitter.Job {
	job := submitter.Job{Tasks: make([]submitter.Task, tasks)}
	for i := range job.Tasks {
		job.Tasks[i] = submitter.Task{
			Payload:     json.RawMessage(`{"sheet":` + strconv.Itoa(i) + `}`),
			RunTime:     submitter.Duration(time.Millisecond),
			MemoryBytes: 1 << 20,
		}
	}
	return job
}

// submitMany submits n jobs from several concurrent callers and reports an error
// unless all of them complete.
func submitMany(tb testing.TB, client *submitter.Client, job submitter.Job, n, callers int) {
	tb.Helper()
	var wg sync.WaitGroup
	var next atomic.Int64
	for range callers {
		wg.Go(func() {
			for next.Add(1) <= int64(n) {
				a, err := client.Submit(context.Background(), "quote", "", job)
				if err != nil || a.Outcome != submitter.OutcomeComplete {
					tb.Errorf("%v %s %s %s", err, a.Outcome, a.Reason, a.Detail)
					return
				}
			}
		})
	}
	wg.Wait()
}
