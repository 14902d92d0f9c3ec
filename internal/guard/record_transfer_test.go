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

// transferAll relays pieces and answers between an agent and its successor until
// there are no more. It returns the number of pieces and their encoded size.
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

// TestBequestBytes transfers the records of a loaded agent, and prints the size of a
// record in messages and at the successor.
func TestBequestBytes(t *testing.T) {
	const records = 100_000
	from, successor := loadedGuard(records), loadedGuard(0)
	pieces, size := transferAll(t, from, successor)
	count, accounted := successor.Records()
	if count != records {
		t.Fatalf("the successor has %d records, want %d", count, records)
	}
	t.Logf("%d pieces; %d bytes a record in messages, %d at the successor", pieces, size/records, accounted/records)
	if size/pieces > 2*maxPieceBytes {
		t.Errorf("a piece has %d bytes, the bound is %d", size/pieces, maxPieceBytes)
	}
}

// TestSuccessorAnswersFences checks that a fence gets the same records from the
// successor as from the agent that has left.
func TestSuccessorAnswersFences(t *testing.T) {
	from, successor := loadedGuard(3), loadedGuard(0)
	running := benchID(7)
	from.Receive(benchStart, benchEntry, startFrame(running, 4))
	from.TransferRecords(benchStart)
	for _, s := range from.Take(benchStart).Sends {
		if len(s.Frame.RecordTransfers) > 0 {
			t.Fatal("the agent transfers its records while a task runs")
		}
	}
	from.Ended(benchStart, TaskRef{Submission: running, Index: 4}, messenger.TaskResult{Index: 4, Kind: messenger.ResultDone, Payload: []byte("1")})
	transferAll(t, from, successor)
	if diff := cmp.Diff(fencedRecords(from), fencedRecords(successor), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("records (-agent +successor):\n%s", diff)
	}
	from.Receive(benchStart, benchEntry, startFrame(benchID(9), 0))
	if out := from.Take(benchStart); len(out.Invocations) > 0 {
		t.Error("the agent starts a task after it has transferred its records")
	}
	// A successor that is leaving too refuses further records.
	successor.TransferRecords(benchStart)
	successor.Receive(benchStart, benchEntry, &messenger.Frame{RecordTransfers: []messenger.RecordTransfer{{Agent: "other"}}})
	for _, s := range successor.Take(benchStart).Sends {
		for _, m := range s.Frame.RecordTransferStatuses {
			if !m.Refused {
				t.Error("a leaving agent accepts the records of another")
			}
		}
	}
}

// fencedRecords returns all records that fences of a new owner would get.
func fencedRecords(g *Guard) []messenger.Record {
	var out []messenger.Record
	for p := range identifier.Partition(identifier.Partitions) {
		out = append(out, g.records.messages(p, false)...)
		out = append(out, g.transferred.messages(p, false)...)
	}
	return out
}

// TestTransferredRecordsExpire checks that a successor keeps transferred records only
// for the window.
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
