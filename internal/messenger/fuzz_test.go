package messenger

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// sampleFrame returns a frame with one message of each kind.
func sampleFrame() *Frame {
	s := identifier.Submission{0: 1, 6: 0x70, 8: 0x80}
	return &Frame{
		Hello:                  &Hello{Version: ProtocolVersion, Peer: "entry-0", Role: RoleEntry, PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"), Epochs: []uint64{1, 2}},
		Contact:                &Contact{Ping: 3, Echo: 2, Clock: time.Second},
		Starts:                 []Start{{Submission: s, Epoch: 1, Service: "quote", Tasks: []TaskStart{{Index: 1, Payload: []byte("{}")}}}},
		Results:                []Result{{Submission: s, Tasks: []TaskResult{{Index: 1, Kind: ResultDone}}}},
		Cancels:                []Cancel{{Submission: s, Epoch: 1}},
		CancelAcks:             []CancelAck{{Submission: s, Started: []uint16{1}}},
		Capacity:               &Capacity{State: UpstreamServing, Services: []string{"quote"}, Slots: 8},
		Credit:                 &Credit{Limit: 4},
		Fence:                  &Fence{Partitions: []PartitionEpoch{{Partition: 1, Epoch: 2}}},
		Fenced:                 []Fenced{{Partition: 1, Epoch: 2, Records: []Record{{Submission: s}}}},
		Forwards:               []Forward{{Ticket: 1, Submission: s, Remaining: time.Second, Tasks: []TaskSpec{{Payload: []byte("1")}}}},
		Answers:                []Answer{{Ticket: 1, Submission: s, Outcome: "complete", Results: [][]byte{[]byte("1")}}},
		Handover:               &Handover{ID: "h", Step: HandoverOffer},
		Routes:                 &Routes{Entries: []EntryAddr{{Peer: "entry-0"}}},
		Config:                 &Config{Version: 1, Document: []byte("{}")},
		Settled:                []Settlement{{Submission: s}},
		Query:                  []AdminQuery{{Ticket: 1, Call: "entry"}},
		Reports:                []AdminReply{{Ticket: 1, Body: []byte("{}")}},
		Admit:                  &Admit{RosterVersion: 1},
		Moved:                  []Moved{{Ticket: 1}},
		Expel:                  &Expel{RosterVersion: 2},
		RecordTransfers:        []RecordTransfer{{Agent: "agent-0", Piece: 1, Last: true, Records: []Record{{Submission: s}}}},
		RecordTransferStatuses: []RecordTransferStatus{{Agent: "agent-0", Pieces: 2}},
		Launches:               []Launch{{Task: TaskRef{Job: "a", Step: 1, Index: 2}, Run: 1, Resources: Resources{MilliCPU: 1600}, Service: "quote", Incarnation: "u"}},
		Withdraws:              []Withdraw{{Task: TaskRef{Job: "a"}, Run: 1}},
		Ends:                   []End{{Task: TaskRef{Job: "a"}, Run: 1, Kind: EndDone, RunTime: time.Second}},
		Load:                   &Load{Incarnation: "u", Service: "quote", State: RunnerReady, Labels: []string{"r1"}, LaunchesReceived: 3},
		Stamp:                  &Stamp{Clock: time.Second, Echo: 2},
		Crashes:                []Crash{{Upstream: "u#1", Age: time.Second, Runs: []CrashedRun{{Task: TaskRef{Job: "a"}, Queue: "q", RunTime: time.Second, Certain: true}}}},
		OpenJobs:               []OpenJob{{Job: "a"}},
		Recalls:                []Recall{{Job: "a", Step: RecallAccepted}},
		Relays:                 []Relay{{From: "entry-0", To: netip.MustParseAddrPort("127.0.0.1:1"), Message: []byte{0xa0}}},
		Inquiries:              []Inquiry{{Job: "a", Step: InquiryOpen, Age: time.Second, IsHeld: true}},
		OutstandingStarts:      []OutstandingStart{{Task: TaskRef{Job: "a"}, Upstream: "u", Age: time.Second}},
		Cancellations:          []Cancellation{{Job: "a", Step: CancellationAsked, Age: time.Second}},
		Evacuations:            &Evacuations{Version: 7, DataCentres: []string{"dc-1"}, Age: time.Second},
	}
}

// FuzzDecode checks that no message makes the decoder panic, and that accepted frames
// are the same after a round trip through the encoder.
func FuzzDecode(f *testing.F) {
	var buf bytes.Buffer
	if err := Append(&buf, sampleFrame()); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add(append(buf.Bytes(), buf.Bytes()...))
	f.Add(buf.Bytes()[:buf.Len()/2])
	f.Add([]byte{0xa0})
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, message []byte) {
		frames := decodeAll(message)
		var reencoded bytes.Buffer
		for _, frame := range frames {
			if err := Append(&reencoded, frame); err != nil {
				t.Fatalf("an accepted frame cannot be encoded: %v", err)
			}
			frame.Count()
		}
		if diff := cmp.Diff(frames, decodeAll(reencoded.Bytes()), cmpopts.EquateEmpty(), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Errorf("frames (-first +second):\n%s", diff)
		}
	})
}

func decodeAll(message []byte) []*Frame {
	var frames []*Frame
	// The frames before an error are compared; the error itself is not under test.
	_ = Decode(message, func(f *Frame) { frames = append(frames, f) })
	return frames
}

// TestEveryMessageIsCounted checks that each field of a frame is counted under its own
// kind.
func TestEveryMessageIsCounted(t *testing.T) {
	fields := reflect.TypeFor[Frame]().NumField()
	if named := len(MessageKinds) - 1; named != fields {
		t.Errorf("there are %d kinds besides other, and %d fields", named, fields)
	}
	counts := sampleFrame().Count()
	for i, kind := range MessageKinds[:len(MessageKinds)-1] {
		if counts[i] != 1 {
			t.Errorf("%s is counted %d times", kind, counts[i])
		}
	}
	if n := (&Frame{}).Count(); n[len(n)-1] != 1 || n.Leading() != len(n)-1 {
		t.Errorf("an empty frame is counted as %v", n)
	}
}
