package evacuator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestScripts runs the scripts in testdata. Each line is an event, and the output tells what is in force after
// it.
//
//	at TIME                        sets the time, at which the process runs
//	offer VERSION TIME [NAME...]   applies a version that a source had at the time
//	confirm TIME                   applies that a source knew of no higher version at the time
//	connect PEER, disconnect PEER
//	heard PEER VERSION             applies that a peer has a version
func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		var out strings.Builder
		var now time.Duration
		var recipients Recipients[string]
		e := New(Limits{PauseLimit: 500 * time.Millisecond, ConfirmTimeout: time.Second})
		for _, l := range lines {
			fmt.Fprintf(&out, "> %s %s\n", l.Verb, strings.Join(l.Args, " "))
			switch a := l.Args; l.Verb {
			case "at":
				now = scripter.Duration(t, a[0])
				if e.Advance(now) {
					fmt.Fprintln(&out, "paused")
				}
			case "offer":
				c, applied := e.Offer(messenger.Evacuations{Version: uint64(scripter.Number(t, a[0])), DataCentres: a[2:]}, scripter.Duration(t, a[1]))
				fmt.Fprintln(&out, "applied", applied, "begun", c.Begun, "ended", c.Ended)
			case "confirm":
				fmt.Fprintln(&out, "confirmed", e.Confirm(scripter.Duration(t, a[0])))
			case "connect":
				recipients.Add(a[0])
			case "disconnect":
				recipients.Remove(a[0])
			case "heard":
				recipients.Heard(a[0], uint64(scripter.Number(t, a[1])))
			default:
				t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
			}
			if e.Overdue(now) {
				fmt.Fprintln(&out, "overdue")
			}
			fmt.Fprintln(&out, "version", e.Version(), e.DataCentres(), "may start", e.MayStart(now))
			if due := recipients.Due(e.Version()); len(due) > 0 {
				slices.Sort(due)
				fmt.Fprintln(&out, "tell", due)
			}
		}
		return out.String()
	})
}
