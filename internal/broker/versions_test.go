package broker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestVersions runs the scripts in testdata.
//
//	own VERSION            puts a version in force, as read from the platform
//	heard PEER VERSION     another entry reports its version
//	gone PEER              the connection to an entry ends
//	until TIME             checks every 50 ms until the time
func TestVersions(t *testing.T) {
	scripter.Run(t, "testdata/versions-*.txtar", func(t *testing.T, lines []scripter.Line) string {
		v := versionTracker{delay: time.Second, peers: make(map[messenger.Peer]uint64)}
		var out strings.Builder
		var now time.Duration
		var own uint64
		for _, l := range lines {
			switch l.Verb {
			case "own":
				own = uint64(scripter.Number(t, l.Args[0]))
			case "heard":
				v.heard(messenger.Peer(l.Args[0]), uint64(scripter.Number(t, l.Args[1])))
			case "gone":
				v.gone(messenger.Peer(l.Args[0]))
			case "until":
				for ; now < scripter.Duration(t, l.Args[0]); now += configCheckInterval {
					if peer, version := v.request(time.Unix(1, 0).Add(now), own); peer != "" {
						fmt.Fprintf(&out, "%v: ask %s for %d\n", now, peer, version)
					}
				}
			default:
				t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
			}
		}
		return out.String()
	})
}
