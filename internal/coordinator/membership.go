package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// AgentState is how an agent stands to the roster.
type AgentState string

// The states of agents in a roster.
const (
	AgentMember       AgentState = "member"   // Tasks may be given to the agent.
	AgentDeparted     AgentState = "departed" // The agent left; its records may still matter.
	AgentDeclaredDead AgentState = "declared" // An operator declared the agent dead.
)

// WitnessState says whether leases rest on an agent.
type WitnessState string

// The kinds of witnesses; an agent that is none has an empty state.
const (
	WitnessCurrent  WitnessState = "current"
	WitnessPrevious WitnessState = "previous" // Some entry may still rely on the agent.
)

// AgentStatus is what operators see of an agent of the roster.
type AgentStatus struct {
	Peer             messenger.Peer
	DataCentre, Rack string // DataCentre and Rack are empty once the agent is no member.
	State            AgentState
	Witness          WitnessState
	Connected        bool
	// Fencing is the number of partitions that this entry has taken over and that
	// wait, among others, for the agent.
	PartitionsFencing int
	// Missing is the number of this entry's partitions whose records at the agent
	// are not known.
	PartitionsMissing int
	// Heir is the agent that has the records of one that left in good order.
	Successor messenger.Peer
	// DeclaredAt is when an operator declared the agent dead; zero if none did.
	DeclaredAt time.Time
}

// RosterStatus is the roster as this entry knows it.
type RosterStatus struct {
	Version uint64
	Agents  []AgentStatus // Agents has the members and then the departed.
}

// Roster returns the status of the agents of this region.
func (c *Coordinator) Roster(now time.Time) RosterStatus {
	roster := c.registrar.Roster(c.self.Region)
	out := RosterStatus{Version: roster.Version}
	for _, m := range roster.Members {
		out.Agents = append(out.Agents, AgentStatus{Peer: m.Peer, DataCentre: m.DataCentre, Rack: m.Rack, State: AgentMember})
	}
	for _, d := range roster.Departed {
		state := AgentDeparted
		if !d.DeclaredAt.IsZero() {
			state = AgentDeclaredDead
		}
		out.Agents = append(out.Agents, AgentStatus{Peer: d.Peer, State: state, Successor: d.Successor, DeclaredAt: d.DeclaredAt})
	}
	fencing, missing := c.partitionsWaitingFor(now)
	for i := range out.Agents {
		a := &out.Agents[i]
		a.Witness = witnessState(&roster.Roster, a.Peer)
		a.Connected = c.agents[a.Peer] != nil
		a.PartitionsFencing = fencing[a.Peer]
		a.PartitionsMissing = missing[a.Peer]
	}
	return out
}

func witnessState(r *registrar.Roster, peer messenger.Peer) WitnessState {
	switch {
	case slices.Contains(r.Witnesses, peer):
		return WitnessCurrent
	case slices.Contains(r.PreviousWitnesses, peer):
		return WitnessPrevious
	}
	return ""
}

// waitedFor counts the partitions of this entry that wait for each agent.
func (c *Coordinator) partitionsWaitingFor(now time.Time) (fencing, missing map[messenger.Peer]int) {
	fencing = make(map[messenger.Peer]int)
	missing = make(map[messenger.Peer]int)
	for p := range identifier.Partition(identifier.Partitions) {
		for _, peer := range c.recoverer.UnfencedWitnesses(p) {
			fencing[peer]++
		}
		for _, peer := range c.recoverer.Status(now, p).MissingAgents {
			missing[peer]++
		}
	}
	return fencing, missing
}
