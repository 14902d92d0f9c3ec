package surveyor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Parameters of the measurements of state and messages.
const (
	payloadBytes    = 100
	jobTasks        = 58
	retentionWindow = 5 * time.Minute
	unlimited       = 1 << 30
	repetitions     = 20
)

// The sizes at which state is measured.
var (
	recordCounts    = []int{1_000, 5_000, 20_000, 50_000}
	jobCounts       = []int{100, 500, 2_000, 5_000}
	taskCounts      = []int{1, 11, 58, 290, 580}
	partitionCounts = []int{32, 64, 128, 256}
	teamCounts      = []int{10, 40, 130, 260}
	memberCounts    = []int{11, 110, 300, 900}
)

// MeasureState measures all slopes that need no connections: those of records, jobs,
// messages, the client library and the table.
func MeasureState() ([]Slope, error) {
	var out []Slope
	out = append(out, recordSlopes()...)
	out = append(out, jobSlopes()...)
	out = append(out, messageSlopes()...)
	client, err := clientSlopes()
	if err != nil {
		return nil, err
	}
	tables, err := tableSlopes()
	if err != nil {
		return nil, err
	}
	return slices.Concat(out, client, tables), nil
}

// heapGrowth returns the number of bytes by which the live heap grows when build is
// called and its result retained.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// recordSlopes measures the memory of records in an agent's guard, and the time of a
// tick of the guard.
func recordSlopes() []Slope {
	var heapSamples, tickSamples []Sample
	for _, n := range recordCounts {
		var g *guard.Guard
		now := time.Now()
		size := heapGrowth(func() any {
			g = guardWithRecords(now, n)
			return g
		})
		heapSamples = append(heapSamples, Sample{float64(n), size})
		tickSamples = append(tickSamples, Sample{float64(n), meanMicroseconds(func() { g.Tick(now.Add(time.Second)) })})
	}
	return []Slope{
		NewSlope("agent-record-bytes", "B", "record", heapSamples),
		NewSlope("agent-record-tick", "us", "record", tickSamples),
	}
}

// guardWithRecords returns a guard with n records: one ended task of each of n
// submissions.
func guardWithRecords(now time.Time, n int) *guard.Guard {
	const entry = "entry"
	g := guard.New(now, guard.Limits{Window: retentionWindow, MaxRecordBytes: unlimited, MaxWaiting: unlimited})
	g.EntryUp(now, entry)
	admitAll(now, g, entry)
	g.Announce(now, invoker.Announcement{
		Address:    netip.MustParseAddrPort("127.0.0.1:1"),
		Services:   []string{"quote"},
		Slots:      unlimited,
		TimeToLive: submitter.Duration(time.Hour),
	})
	for range n {
		id := identifier.New(now)
		g.Receive(now, entry, &messenger.Frame{Starts: []messenger.Start{{
			Submission: id,
			Epoch:      1,
			Service:    "quote",
			StartBy:    time.Hour,
			EndBy:      time.Hour,
			Tasks:      []messenger.TaskStart{{Payload: payload()}},
		}}})
		g.Ended(now, guard.TaskRef{Submission: id}, messenger.TaskResult{Kind: messenger.ResultDone, Payload: payload()})
		g.Receive(now, entry, &messenger.Frame{Settled: []messenger.Settlement{{Submission: id}}})
		g.Take(now)
	}
	return g
}

// jobSlopes measures the memory of answered jobs that an entry keeps, and the time of
// a tick of their owner.
func jobSlopes() []Slope {
	var heapSamples, tickSamples []Sample
	for _, n := range jobCounts {
		var o *owner.Owner
		now := time.Now()
		size := heapGrowth(func() any {
			o = ownerWithJobs(now, n)
			return o
		})
		heapSamples = append(heapSamples, Sample{float64(n * jobTasks), size})
		tickSamples = append(tickSamples, Sample{float64(n), meanMicroseconds(func() { o.Tick(now.Add(time.Second)) })})
	}
	return []Slope{
		NewSlope("entry-kept-task-bytes", "B", "kept task", heapSamples),
		NewSlope("entry-job-tick", "us", "kept job", tickSamples),
	}
}

// ownerWithJobs returns an owner that keeps n answered jobs of [jobTasks] tasks.
func ownerWithJobs(now time.Time, n int) *owner.Owner {
	const agent = "agent"
	o := owner.New(owner.Limits{
		Window:           retentionWindow,
		MaxClockSkew:     time.Minute,
		MaxRecordBytes:   unlimited,
		MaxAnswerBytes:   unlimited,
		AgentLossTimeout: time.Second,
		MaxReschedules:   1,
		AbandonGrace:     time.Minute,
	})
	for range n {
		job := owner.Job{
			Submission: identifier.New(now),
			Service:    "quote",
			Deadline:   now.Add(time.Hour),
			Tasks:      make([]messenger.TaskSpec, jobTasks),
		}
		results := messenger.Result{Submission: job.Submission}
		for i := range job.Tasks {
			job.Tasks[i].Payload = payload()
			results.Tasks = append(results.Tasks, messenger.TaskResult{
				Index: uint16(i), Kind: messenger.ResultDone, Payload: payload(),
			})
		}
		tasks := o.Submit(now, owner.Waiter{Ticket: 1}, job)
		o.Sent(now, job.Submission, agent, tasks)
		o.Result(now, agent, &results)
		o.Take()
	}
	return o
}

// tableSlopes measures the size of rows of the table by the number of partitions,
// agents and teams, and the time to parse a configuration.
func tableSlopes() ([]Slope, error) {
	var rowBytes, rosterBytes, configBytes, parseTime []Sample
	for _, n := range partitionCounts {
		p := emulator.NewPlatform(1, emulator.Faults{})
		for i := range n {
			p.Write(storer.Transaction{
				RequestID: fmt.Sprint(i),
				Puts: []storer.Put{{
					Key:   fmt.Sprintf("partitions/%03d", i),
					Value: json.RawMessage(`{"owner":"entry-0192f0c1-2f4e-7c3a-9d2b-1f2e3d4c5b6a","epoch":17,"region":"default"}`),
				}},
			})
		}
		body, err := json.Marshal(p.Read("partitions/"))
		if err != nil {
			return nil, &Error{Op: "tables", Kind: KindFormat, Err: err}
		}
		rowBytes = append(rowBytes, Sample{float64(n), float64(len(body))})
	}
	for _, n := range memberCounts {
		put := registrar.RosterPut("default", rosterOf(n))
		rosterBytes = append(rosterBytes, Sample{float64(n), float64(len(put.Key) + len(put.Value))})
	}
	for _, n := range teamCounts {
		text := baseWithTeams(n)
		if _, err := configurer.Parse("base", text); err != nil {
			return nil, err
		}
		configBytes = append(configBytes, Sample{float64(n), float64(len(text))})
		parseTime = append(parseTime, Sample{float64(n), meanMicroseconds(func() {
			_, _ = configurer.Parse("base", text)
		})})
	}
	return []Slope{
		NewSlope("partition-row-bytes", "B", "partition", rowBytes),
		NewSlope("roster-row-bytes", "B", "agent", rosterBytes),
		NewSlope("config-bytes", "B", "team", configBytes),
		NewSlope("config-parse-time", "us", "team", parseTime),
	}, nil
}

// rosterOf returns a roster of n agents whose names have the same form as those that
// processes generate.
func rosterOf(n int) registrar.Roster {
	r := registrar.Roster{Version: uint64(n)}
	for i := range n {
		peer := messenger.Peer(fmt.Sprintf("agent-0192f0c1-2f4e-7c3a-9d2b-%012x", i))
		r.Members = append(r.Members, registrar.Member{Peer: peer, DataCentre: "default", Rack: fmt.Sprint(i / 3)})
	}
	return r
}

// baseWithTeams returns a base configuration with one service and n teams.
func baseWithTeams(n int) []byte {
	var b strings.Builder
	b.WriteString("services:\n  - name: quote\n    path: /quote\n    timeout: 30s\n    default-run-time: 200ms\n" +
		"    default-memory-bytes: 67108864\n    objective: {latency: 2s, latency-ratio: 0.99, success-ratio: 0.999}\nteams:\n")
	for i := range n {
		fmt.Fprintf(&b, "  - name: team-%03d\n    slots: 64\n    starts-per-second: 600\n    token-hashes: [%q]\n",
			i, fmt.Sprintf("%064x", i+1))
	}
	return []byte(b.String())
}

// meanMicroseconds returns the mean duration of a call in microseconds.
func meanMicroseconds(call func()) float64 {
	started := time.Now()
	for range repetitions {
		call()
	}
	return float64(time.Since(started).Nanoseconds()) / repetitions / 1e3
}

func payload() []byte { return bytes.Repeat([]byte{'1'}, payloadBytes) }

// admitAll makes a guard accept starts of all partitions from the entry.
func admitAll(now time.Time, g *guard.Guard, entry messenger.Peer) {
	f := &messenger.Fence{}
	epochs := make([]uint64, identifier.Partitions)
	for p := range identifier.Partitions {
		epochs[p] = 1
		f.Partitions = append(f.Partitions, messenger.PartitionEpoch{Partition: identifier.Partition(p), Epoch: 1})
	}
	g.Receive(now, entry, &messenger.Frame{Admit: &messenger.Admit{RosterVersion: 1, Epochs: epochs}})
	g.Receive(now, entry, &messenger.Frame{Fence: f})
	g.Take(now)
}
