package tracker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestScripts runs the scripts in testdata with room for two records.
//
//	at TIME              sets the time, and prints the jobs whose recalls were not accepted in time,
//	                     and those whose inquiries were not answered in time
//	opened PEER JOB...   tells that an entry has jobs open
//	owner JOB            prints the owner of a job
//	recall PEER JOB      begins a recall
//	accepted PEER JOB
//	ended PEER JOB       prints whether that ends a recall
//	gone PEER            ends a connection
//	back PEER            begins another one, and prints the jobs to recall
//	not-ended PEER       prints the jobs whose recalls from an entry have not ended
//	inquire JOB PEER...  begins an inquiry of the connected entries, and prints whether any is asked
//	answered PEER JOB    prints whether the inquiry goes on, and whether it has ended with the answer
//	end-inquiry JOB
//	up PEER              begins a connection to an entry, and prints the jobs to ask about
//	holds JOB            prints whether a job waits for a recall or an inquiry
//	compare AGE PEER AGE [held]  prints whether the submission here, at entry e2, is the later one
//	omitted              prints the number of jobs that were not recorded
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		s := &script{t: t, tracker: New(Limits{RecordLifetime: 10 * time.Second, MaxRecords: 2, AnswerTimeout: 150 * time.Millisecond})}
		for _, l := range lines {
			s.line(l)
		}
		return s.out.String()
	})
}

type script struct {
	t       *testing.T
	tracker *Tracker
	now     time.Duration
	out     strings.Builder
}

func (s *script) line(l scripter.Line) {
	a := l.Args
	peer := func() messenger.Peer { return messenger.Peer(a[0]) }
	fmt.Fprintf(&s.out, "> %s %s\n", l.Verb, strings.Join(a, " "))
	switch l.Verb {
	case "at":
		s.now = scripter.Duration(s.t, a[0])
		s.tracker.Expire(s.now)
		s.print("give up", s.tracker.Unanswered(s.now))
		s.print("not answered", s.tracker.UnansweredInquiries(s.now))
	case "opened":
		for _, job := range a[1:] {
			s.tracker.Opened(s.now, peer(), job)
		}
	case "owner":
		owner, ok := s.tracker.Owner(s.now, a[0])
		fmt.Fprintln(&s.out, owner, ok)
	case "recall":
		s.tracker.Recall(s.now, peer(), a[1])
	case "accepted":
		s.tracker.Accepted(peer(), a[1])
	case "ended":
		fmt.Fprintln(&s.out, s.tracker.Ended(peer(), a[1]))
	case "gone":
		s.tracker.OwnerGone(s.now, peer())
	case "back":
		fmt.Fprintln(&s.out, s.tracker.OwnerBack(s.now, peer()))
	case "not-ended":
		fmt.Fprintln(&s.out, s.tracker.NotEnded()[peer()])
	case "inquire":
		var peers []messenger.Peer
		for _, p := range a[1:] {
			peers = append(peers, messenger.Peer(p))
		}
		fmt.Fprintln(&s.out, s.tracker.Inquire(s.now, a[0], peers))
	case "answered":
		fmt.Fprintln(&s.out, s.tracker.InquiryAnswered(peer(), a[1]), s.tracker.EndIfAnswered(a[1]))
	case "end-inquiry":
		s.tracker.EndInquiry(a[0])
	case "up":
		fmt.Fprintln(&s.out, s.tracker.EntryUp(s.now, peer()))
	case "holds":
		fmt.Fprintln(&s.out, s.tracker.Holds(a[0]))
	case "compare":
		answer := messenger.Inquiry{Age: scripter.Duration(s.t, a[2]), IsHeld: len(a) > 3}
		fmt.Fprintln(&s.out, s.tracker.IsResubmission("e2", scripter.Duration(s.t, a[0]), messenger.Peer(a[1]), answer))
	case "omitted":
		fmt.Fprintln(&s.out, s.tracker.Omitted())
	default:
		s.t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
}

func (s *script) print(what string, jobs []string) {
	if len(jobs) > 0 {
		fmt.Fprintf(&s.out, "%s %s\n", what, strings.Join(jobs, " "))
	}
}
