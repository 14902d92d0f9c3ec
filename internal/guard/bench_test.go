package guard

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

const benchEntry = messenger.Peer("entry")

// benchStart is time zero of the guards in benchmarks.
var benchStart = time.Unix(1_700_000_000, 0)

// loadedGuard returns a guard with the given number of settled records.
func loadedGuard(records int) *Guard {
	g := New(benchStart, Limits{Window: time.Hour, MaxRecordBytes: 1 << 40, MaxWaiting: 1000})
	g.EntryUp(benchStart, benchEntry)
	g.Receive(benchStart, benchEntry, &messenger.Frame{Admit: &messenger.Admit{}})
	g.Announce(benchStart, invoker.Announcement{
		Services:   []string{"quote"},
		Slots:      8,
		TimeToLive: submitter.Duration(time.Hour),
	})
	for i := range records {
		runOne(g, benchID(uint64(i)), 0)
	}
	return g
}

// runOne starts one task, ends it and settles its submission.
func runOne(g *Guard, id identifier.Submission, index uint16) {
	f := startFrame(id, index)
	g.Receive(benchStart, benchEntry, f)
	g.Take(benchStart)
	g.Ended(benchStart, TaskRef{Submission: id, Index: index}, messenger.TaskResult{Index: index, Kind: messenger.ResultDone})
	g.Receive(benchStart, benchEntry, &messenger.Frame{Settled: []messenger.Settlement{{Submission: id}}})
	g.Take(benchStart)
}

func startFrame(id identifier.Submission, index uint16) *messenger.Frame {
	return &messenger.Frame{Starts: []messenger.Start{{
		Submission: id,
		Epoch:      1,
		Service:    "quote",
		Path:       "/",
		StartBy:    time.Hour,
		EndBy:      time.Hour,
		Tasks:      []messenger.TaskStart{{Index: index}},
	}}}
}

func benchID(n uint64) identifier.Submission {
	var id identifier.Submission
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70
	return id
}

// BenchmarkStartCheck measures one start check with 100,000 records.
func BenchmarkStartCheck(b *testing.B) {
	g := loadedGuard(100_000)
	f := startFrame(benchID(50_000), 1)
	p := pending{from: benchEntry, start: &f.Starts[0], task: &f.Starts[0].Tasks[0], ref: TaskRef{Submission: f.Starts[0].Submission, Index: 1}}
	b.ReportAllocs()
	for b.Loop() {
		if refusal := g.check(benchStart, &p); refusal != "" {
			b.Fatal(refusal)
		}
	}
}

// BenchmarkDuplicate measures the refusal of a duplicate start, including the
// answer.
func BenchmarkDuplicate(b *testing.B) {
	g := loadedGuard(100_000)
	f := startFrame(benchID(50_000), 0)
	b.ReportAllocs()
	for b.Loop() {
		g.Receive(benchStart, benchEntry, f)
		if out := g.Take(benchStart); len(out.Invocations) > 0 {
			b.Fatal("a duplicate was started")
		}
	}
}

// BenchmarkTask measures a task at the guard from its start to its settlement.
func BenchmarkTask(b *testing.B) {
	g := loadedGuard(0)
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		runOne(g, benchID(n), 0)
	}
}

// BenchmarkTick measures a tick with 100,000 records, none of them expired.
func BenchmarkTick(b *testing.B) {
	g := loadedGuard(100_000)
	b.ReportAllocs()
	for b.Loop() {
		g.Tick(benchStart.Add(time.Second))
	}
}

// TestRecordBytes compares the accounted size of the records with their size on the
// heap.
func TestRecordBytes(t *testing.T) {
	const records = 100_000
	before := heapBytes()
	g := loadedGuard(records)
	taken := int(heapBytes()-before) / records
	count, accounted := g.Records()
	if count != records {
		t.Fatalf("%d records, want %d", count, records)
	}
	t.Logf("%d bytes a record on the heap, %d accounted for", taken, accounted/records)
	if accounted/records < taken {
		t.Errorf("a record takes %d bytes and is accounted for with %d", taken, accounted/records)
	}
	if accounted/records > 2*taken {
		t.Errorf("a record takes only %d bytes and is accounted for with %d", taken, accounted/records)
	}
	runtime.KeepAlive(g)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
