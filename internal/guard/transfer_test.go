package guard

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// passOn carries pieces and answers between an agent and its heir until neither has
// anything to say. It returns the number of pieces and their encoded bytes.
func transferAll(t *testing.T, from, successor *Guard) (pieces, size int) {
	t.Helper()
	from.TransferRecords(benchStart)
	for {
		var next []messenger.RecordTransfer
		for _, s := range from.Take(benchStart).Sends {
			next = append(next, s.Frame.RecordTransfers...)
		}
		if len(next) == 0 {
			return pieces, size
		}
		var buf bytes.Buffer
		if err := messenger.Append(&buf, &messenger.Frame{RecordTransfers: next}); err != nil {
			t.Fatal(err)
		}
		pieces += len(next)
		size += buf.Len()
		successor.Receive(benchStart, benchEntry, &messenger.Frame{RecordTransfers: next})
		for _, s := range successor.Take(benchStart).Sends {
			from.Receive(benchStart, benchEntry, &messenger.Frame{RecordTransferStatuses: s.Frame.RecordTransferStatuses})
		}
	}
}

// TestBequestBytes passes the records of a loaded agent on, and prints what one takes
// in messages and at the heir.
func TestBequestBytes(t *testing.T) {
	const records = 100_000
	from, successor := loadedGuard(records), loadedGuard(0)
	pieces, size := transferAll(t, from, successor)
	count, held := successor.Records()
	if count != records {
		t.Fatalf("the heir has %d records, want %d", count, records)
	}
	t.Logf("%d pieces; %d bytes a record in messages, %d at the heir", pieces, size/records, held/records)
	if size/pieces > 2*maxPieceBytes {
		t.Errorf("a piece has %d bytes, the bound is %d", size/pieces, maxPieceBytes)
	}
}

// TestHeirAnswersForTheOther compares what a fence gets from the heir with what it got
// from the agent that has left.
func TestSuccessorAnswersFences(t *testing.T) {
	from, successor := loadedGuard(3), loadedGuard(0)
	running := benchID(7)
	from.Receive(benchStart, benchEntry, startFrame(running, 4))
	from.TransferRecords(benchStart)
	for _, s := range from.Take(benchStart).Sends {
		if len(s.Frame.RecordTransfers) > 0 {
			t.Fatal("an agent passes its records on while a task runs")
		}
	}
	from.Ended(benchStart, TaskRef{Submission: running, Index: 4}, messenger.TaskResult{Index: 4, Kind: messenger.ResultDone, Payload: []byte("1")})
	transferAll(t, from, successor)
	if diff := cmp.Diff(fencedRecords(from), fencedRecords(successor), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("records (-agent +heir):\n%s", diff)
	}
	from.Receive(benchStart, benchEntry, startFrame(benchID(9), 0))
	if out := from.Take(benchStart); len(out.Invocations) > 0 {
		t.Error("an agent starts a task after it has passed its records on")
	}
	// The agent has left; its heir takes nothing while it leaves itself.
	successor.TransferRecords(benchStart)
	successor.Receive(benchStart, benchEntry, &messenger.Frame{RecordTransfers: []messenger.RecordTransfer{{Agent: "other"}}})
	for _, s := range successor.Take(benchStart).Sends {
		for _, m := range s.Frame.RecordTransferStatuses {
			if !m.Refused {
				t.Error("an agent that leaves takes the records of another")
			}
		}
	}
}

// fencedRecords returns all records that a fence of a new owner gets.
func fencedRecords(g *Guard) []messenger.Record {
	var out []messenger.Record
	for p := range identifier.Partition(identifier.Partitions) {
		out = append(out, g.records.messages(p, false)...)
		out = append(out, g.transferred.messages(p, false)...)
	}
	return out
}

// TestAdoptedAreForgotten checks that an heir keeps records for the window alone.
func TestTransferredRecordsExpire(t *testing.T) {
	from, successor := loadedGuard(10), loadedGuard(0)
	transferAll(t, from, successor)
	successor.Tick(benchStart.Add(time.Hour))
	if n, _ := successor.Records(); n != 10 {
		t.Errorf("%d records within the window, want 10", n)
	}
	successor.Tick(benchStart.Add(time.Hour + time.Second))
	successor.Tick(benchStart.Add(2*time.Hour + 2*time.Second))
	if n, size := successor.Records(); n != 0 || size != 0 {
		t.Errorf("%d records with %d bytes after the window, want none", n, size)
	}
}
