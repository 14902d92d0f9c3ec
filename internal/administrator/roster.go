package administrator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// RosterAgent is one agent of a region's roster as seen by one entry, or merged over
// all entries.
type RosterAgent struct {
	Peer   messenger.Peer `json:"peer"`
	Region string         `json:"region"`
	// Version is the version of the region's roster.
	Version    uint64                   `json:"version"`
	DataCentre string                   `json:"data-centre,omitempty"`
	Rack       string                   `json:"rack,omitempty"`
	State      coordinator.AgentState   `json:"state"`
	Witness    coordinator.WitnessState `json:"witness,omitempty"`
	// ConnectedTo counts the entries that are connected to the agent.
	ConnectedTo int `json:"connected-to"`
	// Fencing counts the partitions that have no active owner and whose fencing still
	// waits for this agent, possibly among others.
	Fencing int `json:"partitions-fencing"`
	// Missing counts the partitions whose owner has not received the agent's records.
	Missing int `json:"partitions-missing"`
	// Successor is the agent that took over the records when this one left in an
	// orderly shutdown.
	Successor messenger.Peer `json:"heir,omitempty"`
	// DeclaredAt is when an operator declared the agent dead.
	DeclaredAt *time.Time `json:"declared-at,omitempty"`
}

func (s *Service) roster(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[[]RosterAgent](r.Context(), s, CallRoster, nil)
	return Listing[RosterAgent]{Items: mergeRoster(parts), Silent: silent}, nil
}

// mergeRoster takes each agent from an entry with the latest roster version of its
// region, and sums the counts over all entries.
func mergeRoster(parts []entryPart[[]RosterAgent]) []RosterAgent {
	latest := make(map[string]uint64)
	for _, p := range parts {
		for _, a := range p.part {
			latest[a.Region] = max(latest[a.Region], a.Version)
		}
	}
	out := []RosterAgent{}
	index := make(map[messenger.Peer]int)
	for _, current := range []bool{true, false} {
		for _, p := range parts {
			for _, a := range p.part {
				if current == (a.Version == latest[a.Region]) {
					out = addRosterAgent(out, index, a, current)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b RosterAgent) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Peer, b.Peer))
	})
	return out
}

// addRosterAgent adds the view of one entry. current is true if that entry has the
// latest roster; an agent that is only in older rosters is skipped.
func addRosterAgent(out []RosterAgent, index map[messenger.Peer]int, a RosterAgent, current bool) []RosterAgent {
	i, ok := index[a.Peer]
	switch {
	case ok:
		out[i].ConnectedTo += a.ConnectedTo
		out[i].Fencing += a.Fencing
		out[i].Missing += a.Missing
	case current:
		index[a.Peer] = len(out)
		out = append(out, a)
	}
	return out
}

// declareDead declares agents dead in the roster of their region. The query names the
// agents and the version of the roster that the operator has seen.
func (s *Service) declareDead(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	agents := slices.Clone(r.URL.Query()["agent"])
	slices.Sort(agents)
	agents = slices.Compact(agents)
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect-version"), 10, 64)
	if err != nil || len(agents) == 0 {
		return nil, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the query is not complete",
			Detail: "it must name agents, and the version of the roster that you have seen as expect-version",
		}
	}
	return s.change(r, principal, ActionDeclareDead, strings.Join(agents, ","),
		func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem) {
			return s.writeDeclaration(ctx, record, agents, expect)
		})
}

// writeDeclaration writes the new roster, on condition that the present one still has
// the version that the operator has seen. It refuses if an entry is connected to one
// of the agents. It returns the entries that did not answer whether they are connected.
func (s *Service) writeDeclaration(ctx context.Context, record *Record, agents []string, expect uint64) ([]Silent, *submitter.Problem) {
	parts, silent := gather[[]RosterAgent](ctx, s, CallRoster, nil)
	for _, a := range mergeRoster(parts) {
		if a.ConnectedTo > 0 && slices.Contains(agents, string(a.Peer)) {
			return nil, &submitter.Problem{
				Status: http.StatusConflict,
				Title:  "the agent is not dead",
				Detail: "entries that are connected to " + string(a.Peer) + ": " + strconv.Itoa(a.ConnectedTo),
			}
		}
	}
	rows, err := s.o.Read(ctx, registrar.RosterPrefix)
	if err != nil {
		return nil, &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the platform cannot be reached",
			Detail: "nothing was changed",
		}
	}
	current, next, problem := declareInRoster(registrar.ReadRosters(rows), agents, record.At)
	if problem != nil {
		return nil, problem
	}
	if current.Version != expect {
		return nil, &submitter.Problem{
			Status: http.StatusConflict,
			Title:  "the roster has changed",
			Detail: "it is at version " + strconv.FormatUint(current.Version, 10) + "; look at it again",
		}
	}
	record.Detail = "region " + current.Region + ", roster version " + strconv.FormatUint(next.Version, 10)
	return silent, s.writeTransaction(ctx, storer.Transaction{
		RequestID:  record.ChangeID,
		Conditions: []storer.Condition{registrar.RosterCondition(current)},
		Puts: []storer.Put{
			registrar.RosterPut(current.Region, next),
			{Key: recordPrefix + record.ChangeID, Value: encode(record)},
		},
	})
}

// declareInRoster returns the roster that has all the agents, and the next version of
// it, in which they are declared dead.
func declareInRoster(rosters []registrar.RegionRoster, agents []string, at time.Time) (current registrar.RegionRoster, next registrar.Roster, problem *submitter.Problem) {
	dead := make([]messenger.Peer, len(agents))
	for i, a := range agents {
		dead[i] = messenger.Peer(a)
	}
	fewestUnknown := dead
	for _, current := range rosters {
		next, unknown := enroller.Declare(current.Roster, dead, at)
		if len(unknown) == 0 {
			return current, next, nil
		}
		if len(unknown) < len(fewestUnknown) {
			fewestUnknown = unknown
		}
	}
	return current, next, &submitter.Problem{
		Status: http.StatusNotFound,
		Title:  "no roster has all these agents",
		Detail: "not known in their region: " + string(fewestUnknown[0]),
	}
}
