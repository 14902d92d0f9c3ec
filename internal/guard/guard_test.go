package guard

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

var testLimits = Limits{Window: time.Minute, MaxRecordBytes: 4 * recordBytes, MaxWaiting: 4}

// TestScripts runs each script with many sets of ids, because the guard's behaviour
// must not depend on the ids of the jobs.
func TestScripts(t *testing.T) {
	const seeds = 2000
	scripter.RunSeeds(t, "testdata/*.txtar", seeds, runScript)
}

// scriptRun drives one guard with the lines of a script.
type scriptRun struct {
	t     *testing.T
	guard *Guard
	now   time.Time
	maker identifier.Generator
	names map[identifier.Submission]string
	ids   map[string]identifier.Submission
	out   strings.Builder
}

func runScript(t *testing.T, lines []scripter.Line, random io.Reader) string {
	start := time.Unix(1_700_000_000, 0)
	b := &scriptRun{
		t:     t,
		guard: New(start, testLimits),
		now:   start,
		maker: identifier.Generator{Random: random},
		names: make(map[identifier.Submission]string),
		ids:   make(map[string]identifier.Submission),
	}
	for _, l := range lines {
		b.apply(l)
		b.report(l)
	}
	return b.out.String()
}

func (b *scriptRun) apply(l scripter.Line) {
	switch l.Verb {
	case "up":
		b.guard.EntryUp(b.now, messenger.Peer(l.Args[0]))
	case "down":
		b.guard.EntryDown(b.now, messenger.Peer(l.Args[0]))
	case "admit":
		a := &messenger.Admit{Epochs: make([]uint64, identifier.Partitions)}
		if job := l.Arg("job"); job != "" {
			a.Epochs[b.id(job).Partition()] = uint64(b.number(l.Arg("epoch")))
		}
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Admit: a})
	case "ping":
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Contact: &messenger.Contact{
			Ping: uint64(b.number(l.Arg("number"))),
		}})
	case "settle":
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Settled: []messenger.Settlement{{
			Submission: b.id(l.Arg("job")),
		}}})
	case "announce":
		b.guard.Announce(b.now, invoker.Announcement{
			Slots:      b.number(l.Arg("slots")),
			TimeToLive: submitter.Duration(scripter.Duration(b.t, l.Arg("ttl"))),
			Leaving:    l.Arg("leaving") == "true",
		})
	case "start":
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Starts: []messenger.Start{b.start(l)}})
	case "fence":
		id := b.id(l.Arg("job"))
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Fence: &messenger.Fence{
			Partitions:    []messenger.PartitionEpoch{{Partition: id.Partition(), Epoch: uint64(b.number(l.Arg("epoch")))}},
			UnsettledOnly: l.Arg("unsettled-only") == "true",
		}})
	case "cancel":
		b.guard.Receive(b.now, messenger.Peer(l.Arg("from")), &messenger.Frame{Cancels: []messenger.Cancel{{
			Submission: b.id(l.Arg("job")), Epoch: uint64(b.number(l.Arg("epoch"))),
		}}})
	case "end":
		b.guard.Ended(b.now, TaskRef{Submission: b.id(l.Arg("job")), Index: uint16(b.number(l.Arg("task")))},
			messenger.TaskResult{Index: uint16(b.number(l.Arg("task"))), Kind: messenger.ResultDone})
	case "wait":
		b.now = b.now.Add(scripter.Duration(b.t, l.Args[0]))
		b.guard.Tick(b.now)
	default:
		b.t.Fatalf("%v: unknown verb", l)
	}
}

func (b *scriptRun) start(l scripter.Line) messenger.Start {
	startBy := b.guard.Clock(b.now) + scripter.Duration(b.t, l.Arg("budget"))
	s := messenger.Start{
		Submission: b.id(l.Arg("job")),
		Epoch:      uint64(b.number(l.Arg("epoch"))),
		StartBy:    startBy,
		EndBy:      startBy + time.Minute,
		RequestKey: l.Arg("key"),
		Digest:     7,
	}
	for text := range strings.SplitSeq(l.Arg("tasks"), ",") {
		s.Tasks = append(s.Tasks, messenger.TaskStart{Index: uint16(b.number(text))})
	}
	return s
}

// report writes the guard's output after a line.
func (b *scriptRun) report(l scripter.Line) {
	fmt.Fprintf(&b.out, "%s %s\n", l.Verb, strings.Join(l.Args, " "))
	out := b.guard.Take(b.now)
	for _, i := range out.Invocations {
		fmt.Fprintf(&b.out, "  invoke %s/%d\n", b.names[i.Ref.Submission], i.Ref.Index)
	}
	for _, ref := range out.Aborts {
		fmt.Fprintf(&b.out, "  abort %s/%d\n", b.names[ref.Submission], ref.Index)
	}
	for _, s := range out.Sends {
		b.reportFrame(s)
	}
}

func (b *scriptRun) reportFrame(s Send) {
	if c := s.Frame.Capacity; c != nil {
		fmt.Fprintf(&b.out, "  to %s: capacity %s slots=%d\n", s.To, c.State, c.Slots)
	}
	if c := s.Frame.Contact; c != nil && (c.Echo > 0 || len(c.Raised) > 0) {
		fmt.Fprintf(&b.out, "  to %s: echo %d raised=%v\n", s.To, c.Echo, epochsOf(c.Raised))
	}
	for _, r := range s.Frame.Results {
		for _, task := range r.Tasks {
			fmt.Fprintf(&b.out, "  to %s: %s/%d %s %s\n", s.To, b.names[r.Submission], task.Index, task.Kind, task.Refusal)
		}
	}
	for _, a := range s.Frame.CancelAcks {
		fmt.Fprintf(&b.out, "  to %s: cancelled %s started=%v\n", s.To, b.names[a.Submission], a.Started)
	}
	for _, f := range s.Frame.Fenced {
		fmt.Fprintf(&b.out, "  to %s: fenced epoch=%d\n", s.To, f.Epoch)
		for _, r := range f.Records {
			fmt.Fprintf(&b.out, "    record %s running=%v ended=%d key=%q digest=%d cancelled=%t\n",
				b.names[r.Submission], r.Running, len(r.Ended), r.RequestKey, r.Digest, r.Cancelled)
		}
	}
}

// id returns the submission id that stands for a name in a script.
func (b *scriptRun) id(name string) identifier.Submission {
	if id, ok := b.ids[name]; ok {
		return id
	}
	// Each name gets a partition of its own, so that output never depends on ids.
	id, _ := b.maker.NewIn(b.now, func(p identifier.Partition) bool {
		for other := range b.names {
			if other.Partition() == p {
				return false
			}
		}
		return true
	})
	b.ids[name] = id
	b.names[id] = name
	return id
}

func (b *scriptRun) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		b.t.Fatal(err)
	}
	return n
}

func epochsOf(raised []messenger.PartitionEpoch) []uint64 {
	var out []uint64
	for _, p := range raised {
		out = append(out, p.Epoch)
	}
	return out
}
