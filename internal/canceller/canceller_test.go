package canceller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestScripts runs the scripts in testdata. Each line of a script is an event, and the output lists the
// questions that have ended after it.
//
//	at TIME               sets the time
//	record JOB [AGE]      a job was cancelled that no entry is known to have had
//	record-found JOB [AGE]    the same for one that an entry had
//	cancelled JOB         prints whether a job was cancelled
//	recent N              prints the latest cancels
//	ask JOB ENTRY...      asks other entries for a job
//	found|unknown ENTRY JOB   the answer of an entry
//	lost ENTRY            the connection to an entry has ended
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		s := &script{t: t, canceller: New(Limits{RecordLifetime: 10 * time.Second, MaxFound: 3, MaxUnknown: 3, AnswerTimeout: time.Second})}
		for _, l := range lines {
			s.line(l)
		}
		return s.out.String()
	})
}

type script struct {
	t         *testing.T
	canceller *Canceller
	now       time.Duration
	out       strings.Builder
}

func (s *script) line(l scripter.Line) {
	fmt.Fprintf(&s.out, "> %s %s\n", l.Verb, strings.Join(l.Args, " "))
	a := l.Args
	switch l.Verb {
	case "at":
		s.now = scripter.Duration(s.t, a[0])
	case "record", "record-found":
		age := time.Duration(0)
		if len(a) > 1 {
			age = scripter.Duration(s.t, a[1])
		}
		s.canceller.Record(s.now, a[0], age, l.Verb == "record-found")
	case "cancelled":
		fmt.Fprintln(&s.out, s.canceller.IsCancelled(s.now, a[0]))
	case "recent":
		for _, c := range s.canceller.Recent(s.now, int(scripter.Number(s.t, a[0]))) {
			fmt.Fprintf(&s.out, "%s %v ago\n", c.Job, c.Age)
		}
	case "ask":
		var entries []messenger.Peer
		for _, name := range a[1:] {
			entries = append(entries, messenger.Peer(name))
		}
		s.canceller.Ask(s.now, a[0], entries)
	case "found", "unknown":
		s.canceller.Answered(messenger.Peer(a[0]), a[1], l.Verb == "found")
	case "lost":
		s.canceller.EntryLost(messenger.Peer(a[0]))
	default:
		s.t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
	for _, r := range s.canceller.Take(s.now) {
		fmt.Fprintf(&s.out, "ended: %s %s\n", r.Job, r.Outcome)
	}
}
