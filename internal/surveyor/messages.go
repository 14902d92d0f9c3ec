package surveyor

import (
	"bytes"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// The sizes at which messages with records are measured.
var (
	fencedCounts   = []int{10, 100, 1_000, 5_000}
	handoverCounts = []int{10, 50, 200, 500}
)

// messageSlopes measures the size and the time to encode and decode each kind of
// message, by the number of tasks, records or jobs that it carries.
func messageSlopes() []Slope {
	out := codecSlopes("record-message", "record", fencedCounts, fencedFrame)
	out = append(out, codecSlopes("start-message", "task", taskCounts, startFrame)...)
	out = append(out, codecSlopes("result-message", "task", taskCounts, resultFrame)...)
	out = append(out, codecSlopes("forward-message", "task", taskCounts, forwardFrame)...)
	out = append(out, codecSlopes("answer-message", "task", taskCounts, answerFrame)...)
	return append(out, codecSlopes("handover-message", "kept job of 58 tasks", handoverCounts, handoverFrame)...)
}

// codecSlopes measures a kind of message at several sizes and returns the slopes
// NAME-bytes and NAME-time.
func codecSlopes(name, per string, sizes []int, build func(n int) *messenger.Frame) []Slope {
	m := newMeters(per, meter{name + "-bytes", "B"}, meter{name + "-time", "us"})
	for _, n := range sizes {
		size, meanTime := codecCost(build(n))
		m.add(float64(n), size, meanTime)
	}
	return m.slopes()
}

// codecCost returns the size of a frame in bytes, and the mean time in microseconds to
// encode and decode it.
func codecCost(f *messenger.Frame) (size, meanTime float64) {
	var buf bytes.Buffer
	meanTime = meanMicroseconds(func() {
		buf.Reset()
		// Encoding a frame of this package cannot fail; an error would show as size 0.
		_ = messenger.Append(&buf, f)
		_ = messenger.Decode(buf.Bytes(), func(*messenger.Frame) {})
	})
	return float64(buf.Len()), meanTime
}

func startFrame(tasks int) *messenger.Frame {
	m := messenger.Start{
		Submission: identifier.New(time.Now()), Epoch: 1, Service: "quote", Path: "/quote",
		StartBy: time.Hour, EndBy: time.Hour,
	}
	for i := range tasks {
		m.Tasks = append(m.Tasks, messenger.TaskStart{Index: uint16(i), Payload: payload(), MemoryBytes: 64 << 20})
	}
	return &messenger.Frame{Starts: []messenger.Start{m}}
}

func resultFrame(tasks int) *messenger.Frame {
	m := messenger.Result{Submission: identifier.New(time.Now())}
	for i := range tasks {
		m.Tasks = append(m.Tasks, messenger.TaskResult{
			Index: uint16(i), Kind: messenger.ResultDone, Payload: payload(), RunTime: 200 * time.Millisecond,
		})
	}
	return &messenger.Frame{Results: []messenger.Result{m}}
}

// forwardFrame returns a submission that one entry forwards to another.
func forwardFrame(tasks int) *messenger.Frame {
	m := messenger.Forward{Ticket: 1, Submission: identifier.New(time.Now()), Service: "quote", Team: "team-001", Remaining: time.Hour}
	for range tasks {
		m.Tasks = append(m.Tasks, messenger.TaskSpec{Payload: payload(), RunTime: 200 * time.Millisecond, MemoryBytes: 64 << 20})
	}
	return &messenger.Frame{Forwards: []messenger.Forward{m}}
}

func answerFrame(tasks int) *messenger.Frame {
	return &messenger.Frame{Answers: []messenger.Answer{*answerOf(identifier.New(time.Now()), tasks)}}
}

func answerOf(id identifier.Submission, tasks int) *messenger.Answer {
	a := &messenger.Answer{Ticket: 1, Submission: id, Outcome: string(submitter.OutcomeComplete)}
	for range tasks {
		a.Results = append(a.Results, payload())
	}
	return a
}

// handoverFrame returns a handover of answered jobs of [jobTasks] tasks each.
func handoverFrame(jobs int) *messenger.Frame {
	m := &messenger.Handover{ID: "entry/1", Step: messenger.HandoverRecords}
	for range jobs {
		id := identifier.New(time.Now())
		m.Jobs = append(m.Jobs, messenger.HandoverJob{
			Job:    messenger.Forward{Submission: id, Service: "quote", Team: "team-001"},
			Answer: answerOf(id, jobTasks),
			Digest: 1 << 63,
			Age:    time.Minute,
		})
	}
	return &messenger.Frame{Handover: m}
}

// fencedFrame returns an agent's answer to a fence, with one ended task in each
// record.
func fencedFrame(records int) *messenger.Frame {
	m := messenger.Fenced{Epoch: 1}
	for range records {
		m.Records = append(m.Records, messenger.Record{
			Submission: identifier.New(time.Now()),
			Ended:      []messenger.TaskResult{{Index: 57, Kind: messenger.ResultDone, RunTime: 200 * time.Millisecond}},
			Digest:     1 << 63,
			Service:    "quote",
		})
	}
	return &messenger.Frame{Fenced: []messenger.Fenced{m}}
}
