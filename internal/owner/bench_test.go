package owner

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// benchNow is the time of all events of benchmarks.
var benchNow = time.Unix(1_700_000_000, 0)

// loadedOwner returns an owner with the given number of failed jobs of 3 tasks.
func loadedOwner(jobs int) *Owner {
	o := New(Limits{
		Window:           time.Hour,
		MaxClockSkew:     time.Minute,
		MaxRecordBytes:   1 << 40,
		MaxAnswerBytes:   1 << 40,
		AgentLossTimeout: time.Second,
		MaxReschedules:   8,
	})
	o.AgentUp("agent")
	for i := range jobs {
		o.Submit(benchNow, Waiter{Ticket: uint64(i)}, benchJob(uint64(i)))
		o.Refuse(benchNow, benchID(uint64(i)), submitter.ReasonOverloaded, "full", time.Second)
		o.Take()
	}
	return o
}

func benchJob(n uint64) Job {
	return Job{
		Submission: benchID(n),
		Service:    "quote",
		Team:       "team",
		Deadline:   benchNow.Add(10 * time.Second),
		Tasks:      make([]messenger.TaskSpec, 3),
	}
}

func benchID(n uint64) identifier.Submission {
	var id identifier.Submission
	binary.BigEndian.PutUint64(id[:], uint64(benchNow.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70
	return id
}

// BenchmarkDedup measures a duplicate request for one of 100,000 answered jobs.
func BenchmarkDedup(b *testing.B) {
	o := loadedOwner(100_000)
	j := benchJob(50_000)
	b.ReportAllocs()
	for b.Loop() {
		if tasks := o.Submit(benchNow, Waiter{Ticket: 1}, j); len(tasks) > 0 {
			b.Fatal("a duplicate request started a new job")
		}
		o.out.Answers = o.out.Answers[:0]
	}
}

// BenchmarkJob measures a job of 3 tasks at one agent from submission to answer.
func BenchmarkJob(b *testing.B) {
	o := loadedOwner(0)
	result := messenger.Result{Tasks: []messenger.TaskResult{
		{Index: 0, Kind: messenger.ResultDone}, {Index: 1, Kind: messenger.ResultDone}, {Index: 2, Kind: messenger.ResultDone},
	}}
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		j := benchJob(n)
		tasks := o.Submit(benchNow, Waiter{Ticket: n}, j)
		o.Sent(benchNow, j.Submission, "agent", tasks)
		result.Submission = j.Submission
		o.Result(benchNow, "agent", &result)
		if out := o.Take(); len(out.Answers) != 1 {
			b.Fatal("the job was not answered")
		}
	}
}

// BenchmarkTick measures a tick with 100,000 jobs, none of which expires.
func BenchmarkTick(b *testing.B) {
	o := loadedOwner(100_000)
	b.ReportAllocs()
	for b.Loop() {
		o.Tick(benchNow.Add(time.Second))
	}
}

// TestRecordBytes compares the memory that the owner accounts for answered jobs with
// the memory that they take on the heap.
func TestRecordBytes(t *testing.T) {
	const jobs = 100_000
	before := heapBytes()
	o := loadedOwner(jobs)
	taken := int(heapBytes()-before) / jobs
	accounted, _ := o.Bytes()
	t.Logf("%d bytes per job on the heap, %d accounted for", taken, accounted/jobs)
	if accounted/jobs < taken {
		t.Errorf("a job takes %d bytes but is accounted for as %d bytes", taken, accounted/jobs)
	}
	if accounted/jobs > 2*taken {
		t.Errorf("a job takes only %d bytes but is accounted for as %d bytes", taken, accounted/jobs)
	}
	runtime.KeepAlive(o)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
