package linker

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/scripter"
)

// dialInterval is the interval at which processes dial what is due.
const dialInterval = 100 * time.Millisecond

// TestSchedule runs the scripts in testdata against a network in which a machine that is
// off does not answer, so that a dial that begins meanwhile takes dialTimeout.
//
//	add ADDR...        adds learned addresses
//	off ADDR TIME      leaves the machine off until the time
//	reachable ADDR TIME  another process reports a connection to the address then
//	run TIME           dials until the time, with a jitter of a half
func TestSchedule(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", func(t *testing.T, lines []scripter.Line) string {
		s := &network{t: t, schedule: make(schedule), offUntil: make(map[netip.AddrPort]time.Duration), dialEnds: make(map[netip.AddrPort]time.Duration)}
		for _, l := range lines {
			s.line(l)
		}
		return s.out.String()
	})
}

type network struct {
	t        *testing.T
	schedule schedule
	offUntil map[netip.AddrPort]time.Duration
	dialEnds map[netip.AddrPort]time.Duration // when the dials in progress end without an answer
	reports  []report
	out      strings.Builder
}

type report struct {
	at   time.Duration
	addr netip.AddrPort
}

// start is the time at which each script begins.
var start = time.Unix(1_000_000, 0)

func (s *network) line(l scripter.Line) {
	switch l.Verb {
	case "add":
		for _, a := range l.Args {
			s.schedule.add(false, netip.MustParseAddrPort(a))
		}
	case "off":
		s.offUntil[netip.MustParseAddrPort(l.Args[0])] = scripter.Duration(s.t, l.Args[1])
	case "reachable":
		s.reports = append(s.reports, report{at: scripter.Duration(s.t, l.Args[1]), addr: netip.MustParseAddrPort(l.Args[0])})
	case "run":
		for now := time.Duration(0); now <= scripter.Duration(s.t, l.Args[0]); now += dialInterval / 2 {
			s.step(now)
		}
	default:
		s.t.Fatalf("line %d: unknown verb %q", l.Number, l.Verb)
	}
}

func (s *network) step(now time.Duration) {
	for _, r := range s.reports {
		if r.at == now {
			s.schedule.reachable(start.Add(now), r.addr)
		}
	}
	for _, addr := range s.schedule.addresses() {
		if end, dialling := s.dialEnds[addr]; dialling && now >= end {
			delete(s.dialEnds, addr)
			fmt.Fprintf(&s.out, "%v %v: no answer\n", now, addr)
			s.schedule.ended(start.Add(now), addr, false, 0.5)
		}
	}
	if now%dialInterval != 0 {
		return
	}
	for _, addr := range s.schedule.begin(start.Add(now)) {
		if now < s.offUntil[addr] {
			s.dialEnds[addr] = now + dialTimeout
			continue
		}
		fmt.Fprintf(&s.out, "%v %v: connected\n", now, addr)
	}
}
