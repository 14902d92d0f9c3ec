package dispatcher

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// localPart returns this entry's part of the answer to an administration call. It must
// not be called on the control thread.
func (e *Entry) localPart(call administrator.Call, body []byte) ([]byte, error) {
	switch call {
	case administrator.CallEntry:
		return encodePart(e.entryPart())
	case administrator.CallUpstreams:
		return encodePart(e.upstreamParts())
	case administrator.CallDataCentres:
		return encodePart(e.dataCentreParts())
	case administrator.CallPartitions:
		return encodePart(e.partitionParts())
	case administrator.CallRoster:
		return encodePart(e.rosterParts())
	case administrator.CallUsage:
		return encodePart(e.usageParts())
	case administrator.CallJob, administrator.CallCancelJob:
		var q administrator.JobQuery
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, &Error{Op: "query", Kind: KindInvalid, Err: err}
		}
		return encodePart(e.jobPart(q, call == administrator.CallCancelJob))
	case administrator.CallCancelJobs:
		var s administrator.Selection
		if err := json.Unmarshal(body, &s); err != nil {
			return nil, &Error{Op: "query", Kind: KindInvalid, Err: err}
		}
		return encodePart(e.cancelPart(s))
	case administrator.CallConfig:
		return encodePart(e.configParts())
	case administrator.CallRestore:
		var r administrator.Restore
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, &Error{Op: "query", Kind: KindInvalid, Err: err}
		}
		var out administrator.Restored
		e.loop.Call(func(now time.Time) { out.Ended = e.coordinator.Restore(now, r.Peer) })
		return encodePart(out)
	case administrator.CallBurn:
		return e.burnSnapshot().Encode()
	case administrator.CallHolds:
		return []byte("null"), e.readHolds(e.background)
	}
	return nil, &Error{Op: "query", Kind: KindInvalid, Err: errUnknownCall}
}

var errUnknownCall = errors.New("this entry does not know the call")

func encodePart(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "query", Kind: KindInvalid, Err: err}
	}
	return b, nil
}

// knownEntries returns the names of all known entries, this one included, sorted.
func (e *Entry) knownEntries() []messenger.Peer {
	peers := []messenger.Peer{e.settings.Peer}
	if known := e.routes.Read(); known != nil {
		for _, k := range *known {
			if k.Peer != e.settings.Peer {
				peers = append(peers, k.Peer)
			}
		}
	}
	slices.Sort(peers)
	return peers
}

func (e *Entry) ownerOf(s identifier.Submission) messenger.Peer {
	var peer messenger.Peer
	e.loop.Call(func(time.Time) { peer = e.coordinator.OwnerOf(s.Partition()) })
	return peer
}

func (e *Entry) entryPart() administrator.Entry {
	out := administrator.Entry{
		Peer:       e.settings.Peer,
		Region:     e.settings.Region,
		DataCentre: e.settings.DataCentre,
		CallerAddr: e.CallerAddr(),
		PeerAddr:   e.PeerAddr(),
		AdminAddr:  e.AdminAddr(),
		State:      administrator.EntryServing,
	}
	switch {
	case e.stopping.Load():
		out.State = administrator.EntryStopping
	case e.drained.Load():
		out.State = administrator.EntryDrained
	}
	e.loop.Call(func(time.Time) {
		out.Partitions = len(e.coordinator.Owned())
		out.Upstreams, _ = e.coordinator.PeerCounts()
		kept, open := e.coordinator.JobCounts()
		out.OpenJobs, out.AnsweredJobs = open, kept-open
		out.QueuedTasks = e.coordinator.Queued()
	})
	return out
}

func (e *Entry) upstreamParts() []administrator.Upstream {
	out := []administrator.Upstream{}
	e.loop.Call(func(time.Time) {
		for _, u := range e.coordinator.Upstreams() {
			ejectedBy := 0
			if u.EjectReason != "" {
				ejectedBy = 1
			}
			out = append(out, administrator.Upstream{
				Peer:         u.Peer,
				Region:       u.Location.Region,
				DataCentre:   u.Location.DataCentre,
				Rack:         u.Location.Rack,
				State:        u.Capacity.State,
				Services:     u.Capacity.Services,
				Slots:        u.Capacity.Slots,
				Credit:       u.Credit,
				Outstanding:  u.Outstanding,
				FailureRatio: u.FailureRatio,
				Ejected:      string(u.EjectReason),
				EjectedBy:    ejectedBy,
				Hold:         u.Hold,
				SeenBy:       1,
			})
		}
	})
	return out
}

// dataCentreParts returns the data centres of this entry, of the upstreams to which it
// is connected, and of the holds in force here.
func (e *Entry) dataCentreParts() []administrator.DataCentre {
	held, _ := e.holds.get()
	parts := make(map[string]*administrator.DataCentre)
	part := func(name string) *administrator.DataCentre {
		if parts[name] == nil {
			h := held.DataCentres[name]
			parts[name] = &administrator.DataCentre{Name: name, Hold: h.Hold, By: h.By, At: h.At}
		}
		return parts[name]
	}
	part(e.settings.DataCentre).Entries++
	for name := range held.DataCentres {
		part(name)
	}
	e.loop.Call(func(time.Time) {
		for _, u := range e.coordinator.Upstreams() {
			d := part(u.Location.DataCentre)
			d.Upstreams++
			d.Outstanding += u.Outstanding
		}
	})
	out := []administrator.DataCentre{}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		out = append(out, *parts[name])
	}
	return out
}

func (e *Entry) partitionParts() []administrator.Partition {
	var (
		list  []coordinator.PartitionStatus
		lease coordinator.LeaseStatus
	)
	e.loop.Call(func(now time.Time) {
		list = e.coordinator.Partitions(now)
		lease = e.coordinator.Lease(now)
	})
	out := make([]administrator.Partition, len(list))
	for i, p := range list {
		out[i] = administrator.Partition{
			Partition: p.Partition,
			Region:    p.Region,
			Owner:     p.Owner,
			Epoch:     p.Epoch,
		}
		if p.Owner != e.settings.Peer {
			continue
		}
		left := submitter.Duration(lease.Remaining.Round(time.Millisecond))
		out[i].Phase = p.Phase
		out[i].LeaseLeft = &left
		out[i].Missing = p.Missing
		if !p.UncertainBefore.IsZero() {
			until := p.UncertainBefore.UTC()
			out[i].UncertainBefore = &until
		}
	}
	return out
}

func (e *Entry) rosterParts() []administrator.RosterAgent {
	var roster coordinator.RosterStatus
	e.loop.Call(func(now time.Time) { roster = e.coordinator.Roster(now) })
	out := make([]administrator.RosterAgent, len(roster.Agents))
	for i, a := range roster.Agents {
		out[i] = administrator.RosterAgent{
			Peer:       a.Peer,
			Region:     e.settings.Region,
			Version:    roster.Version,
			DataCentre: a.DataCentre,
			Rack:       a.Rack,
			State:      a.State,
			Witness:    a.Witness,
			Fencing:    a.PartitionsFencing,
			Missing:    a.PartitionsMissing,
			Successor:  a.Successor,
		}
		if a.Connected {
			out[i].ConnectedTo = 1
		}
		if !a.DeclaredAt.IsZero() {
			at := a.DeclaredAt.UTC()
			out[i].DeclaredAt = &at
		}
	}
	return out
}

// configParts returns the configuration status of this entry and its agents.
func (e *Entry) configParts() []administrator.ConfigStatus {
	out := []administrator.ConfigStatus{}
	for _, s := range e.ConfigStatuses() {
		row := administrator.ConfigStatus{Status: s}
		if !s.Since.IsZero() {
			row.InForceFor = submitter.Duration(time.Since(s.Since).Round(time.Millisecond))
		}
		if !s.Confirmed.IsZero() {
			age := submitter.Duration(time.Since(s.Confirmed).Round(time.Millisecond))
			row.Age = &age
		}
		out = append(out, row)
	}
	return out
}

func (e *Entry) usageParts() []administrator.Usage {
	out := []administrator.Usage{}
	e.loop.Call(func(time.Time) {
		for _, u := range e.coordinator.Usage() {
			out = append(out, administrator.Usage(u))
		}
	})
	return out
}

// jobPart returns the state of a job of this entry. If cancel is set, it cancels the
// job first.
func (e *Entry) jobPart(q administrator.JobQuery, cancel bool) administrator.JobReply {
	var (
		status    owner.Status
		found     bool
		undecided bool
	)
	e.loop.Call(func(now time.Time) {
		undecided = e.coordinator.Undecided(q.Submission)
		status, found = e.coordinator.JobStatus(q.Submission)
		found = found && (q.AnyTeam || visible(&status, q.Team))
		if !found || !cancel {
			return
		}
		e.coordinator.CancelJob(now, q.Submission)
		status, _ = e.coordinator.JobStatus(q.Submission)
	})
	if !found {
		return administrator.JobReply{Undecided: undecided}
	}
	state := &submitter.JobState{
		SubmissionID: status.Submission.String(),
		Service:      status.Service,
		Team:         status.Team,
		State:        status.State,
		Made:         status.Submission.Time().UTC(),
		Tasks:        status.Tasks,
		Waiting:      status.Waiting,
		Running:      status.Sent,
		Done:         status.Done,
	}
	if status.Answer != nil {
		state.Answer = answerOf(status.Answer)
	}
	return administrator.JobReply{Found: true, State: state}
}

// visible reports whether a team may see a job. The team of a job that was recovered
// from agents' records may be unknown; no team may see such a job.
func visible(s *owner.Status, team string) bool {
	return s.Team == team && (s.State != submitter.StateRecovered || s.Team != "")
}

// cancelPart cancels the open jobs of this entry that are selected.
func (e *Entry) cancelPart(s administrator.Selection) administrator.Cancelled {
	var out administrator.Cancelled
	e.loop.Call(func(now time.Time) {
		for _, id := range e.coordinator.OpenJobs(s.Service, s.Team) {
			e.coordinator.CancelJob(now, id)
			out.Jobs++
		}
	})
	return out
}
