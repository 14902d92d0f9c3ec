package coordinator_test

import (
	"bytes"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestHandoverInPieces drains an entry that holds many answers, with the size limits of
// production. No message of the handover may be so large that it delays the pings on
// the same connection, and each answer must be available afterwards.
func TestHandoverInPieces(t *testing.T) {
	const (
		jobs     = 600
		tasks    = 20
		taskSize = 1000
		// Besides a piece, a frame may carry other messages, such as answers; allow the
		// size of two jobs for them.
		maxBytes = coordinator.DefaultHandoverPieceBytes + 2*tasks*taskSize
	)
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{
		entries: 2, agents: 3, slots: 8,
		limits: func(l *coordinator.Limits) {
			l.Owner.Window, l.Owner.MaxRecordBytes, l.Owner.MaxAnswerBytes = time.Hour, 1<<30, 1<<30
			l.HandoverBytes, l.HandoverPieceBytes = 0, 0
		},
	})
	sim.runUntil(2*time.Second, sim.serving)
	var submissions []*submission
	for i := range jobs {
		// All jobs are in a quarter of the partitions.
		s := sim.largeSubmission(identifier.Partition(i%64), tasks, taskSize)
		submissions = append(submissions, s)
		sim.submitTo(sim.entries[i%2], s, coordinator.RequestSubmit)
		sim.runFor(50 * time.Millisecond)
	}
	handovers, largest := 0, 0
	sim.onSend = func(f *messenger.Frame) {
		if f.Handover == nil {
			return
		}
		handovers++
		largest = max(largest, encodedSize(t, f))
	}
	drained := sim.entries[0]
	drained.leaving = true
	drained.entry.Drain(sim.now)
	sim.runUntil(10*time.Second, func() bool { return !drained.alive })
	if drained.alive {
		t.Error("the entry did not drain")
	}
	t.Logf("%d handover messages, the largest has %d bytes", handovers, largest)
	if largest > maxBytes {
		t.Errorf("the largest handover message has %d bytes, want at most %d", largest, maxBytes)
	}
	for _, s := range submissions {
		sim.submitTo(sim.entries[1], s, coordinator.RequestSubmit)
	}
	sim.runFor(time.Second)
	sim.oracle.checkEnd()
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
	if complete := sim.oracle.outcomes["complete "]; complete != 2*jobs {
		t.Errorf("%d answers are complete, want %d:\n%s", complete, 2*jobs, table(sim.oracle.outcomes))
	}
}

// largeSubmission adds a submission whose tasks have payloads of about the given size.
func (sim *simulation) largeSubmission(p identifier.Partition, tasks, size int) *submission {
	s := sim.newSubmission(p, "", tasks, 5*time.Second)
	for i := range s.payloads {
		s.payloads[i] = append(s.payloads[i], bytes.Repeat([]byte{'/'}, size)...)
	}
	return s
}

func encodedSize(t *testing.T, f *messenger.Frame) int {
	t.Helper()
	var buf bytes.Buffer
	if err := messenger.Append(&buf, f); err != nil {
		t.Fatal(err)
	}
	return buf.Len()
}
