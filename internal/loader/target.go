package loader

import (
	"context"
	"net/netip"

	"github.com/juju/errors"
)

// TaskRef identifies a task of a submission in a start record.
type TaskRef struct {
	Submission string
	Task       int
}

// PeerTraffic counts the messages and bytes sent so far between the processes of the
// system.
type PeerTraffic struct {
	Count uint64
	Bytes uint64
}

// Target is the system under load. A system embedded in this process sets all
// functions; for a separate one, those that are not available are nil.
type Target struct {
	// Entries are the addresses at which entries accept callers, all on loopback.
	Entries []netip.AddrPort
	// Slots is the total number of slots of all upstreams.
	Slots int
	// Token is the bearer token to send; if empty, a team's token is derived by
	// Experiment.TokenSuffix.
	Token string
	// PeerTraffic returns the traffic so far; nil if it cannot be measured.
	PeerTraffic func() PeerTraffic
	// Starts adds the number of starts of each task to a map; nil if there are no
	// start records.
	Starts func(into map[TaskRef]int) error
	// Step applies a step of the experiment; nil if the loader does not control the
	// system.
	Step func(ctx context.Context, s Step) error
}

// check rejects a target that is not on this machine, so that load is never sent to
// another system by mistake, and a target that cannot apply the experiment's steps.
func (t *Target) check(x *Experiment) error {
	const op = "check-target"
	if len(t.Entries) == 0 {
		return &Error{Op: op, Kind: KindTarget, Err: errors.New("the target has no entries")}
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
