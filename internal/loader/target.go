package loader

import (
	"context"
	"net/netip"

	"github.com/juju/errors"
)

// TaskRef names one task of a submission in a start record.
type TaskRef struct {
	Submission string
	Task       int
}

// PeerTraffic counts the messages between the system's own processes so far.
type PeerTraffic struct {
	Count uint64
	Bytes uint64
}

// Target is the system under load. The functions are seams: a system in this
// process sets all of them, a running one those that it can.
type Target struct {
	// Entries are the callers' addresses of entries, all on loopback.
	Entries []netip.AddrPort
	// Slots is the number of slots of all upstreams.
	Slots int
	// Token is a bearer token; empty sends none.
	Token string
	// PeerTraffic reads the messages so far; nil if they cannot be counted.
	PeerTraffic func() PeerTraffic
	// Starts adds the number of starts of each task; nil if there are no records.
	Starts func(into map[TaskRef]int) error
	// Step carries out one step of the experiment; nil if the system is not under
	// the loader's control.
	Step func(ctx context.Context, s Step) error
}

// check refuses a target that is not on this machine: a load must not reach
// anything else by mistake.
func (t *Target) check(x *Experiment) error {
	const op = "check-target"
	if len(t.Entries) == 0 {
		return &Error{Op: op, Kind: KindTarget, Err: errors.New("there is no entry")}
	}
	for _, e := range t.Entries {
		if !e.Addr().IsLoopback() {
			return &Error{Op: op, Kind: KindTarget, Err: errors.Errorf("%s is not on loopback", e)}
		}
	}
	if len(x.Steps) > 0 && t.Step == nil {
		return &Error{Op: op, Kind: KindTarget, Err: errors.New("the experiment has steps, which need --dev")}
	}
	return nil
}
