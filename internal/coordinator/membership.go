package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// AgentState is the state of an agent in the roster.
type AgentState string

// The states of agents in a roster.
const (
	AgentMember       AgentState = "member"   // The agent may be sent tasks.
	AgentDeparted     AgentState = "departed" // The agent has left; its records may still be needed.
	AgentDeclaredDead AgentState = "declared" // An operator declared the agent dead.
)

// WitnessState tells whether leases depend on an agent.
type WitnessState string

// The kinds of witnesses. An agent that is not a witness has an empty state.
const (
	WitnessCurrent  WitnessState = "current"
	WitnessPrevious WitnessState = "previous" // Some entry may still rely on the agent.
)

// AgentStatus is the status of an agent of the roster that operators see.
type AgentStatus struct {
	Peer             messenger.Peer
	DataCentre, Rack string // Empty once the agent is not a member.
	State            AgentState
	Witness          WitnessState
	Connected        bool
	// PartitionsFencing is the number of partitions being taken over by this entry
	// whose fencing waits for this agent, among others.
	PartitionsFencing int
	// PartitionsMissing is the number of this entry's partitions for which it does not
	// have the agent's records.
	PartitionsMissing int
	// Successor is the agent that holds the records of an agent that has left in an
	// orderly shutdown.
	Successor messenger.Peer
	// DeclaredAt is when an operator declared the agent dead; zero if none did.
	DeclaredAt time.Time
}

// RosterStatus is the roster as this entry knows it.
type RosterStatus struct {
	Version uint64
	Agents  []AgentStatus // The members, then the departed agents.
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

// partitionsWaitingFor counts, for each agent, the partitions of this entry that wait
// for it.
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
