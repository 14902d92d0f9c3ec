package registrar

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/storer"
)

// The key prefixes of the shared rows.
const (
	allPrefix       = "cluster/"
	entryPrefix     = "cluster/entries/"
	partitionPrefix = "cluster/partitions/"
	rosterPrefix    = RosterPrefix
	// revisionKey has no row; a read of it returns only the table's revision.
	revisionKey = "cluster/revision"
)

// RosterPrefix is the key prefix of the roster rows.
const RosterPrefix = "cluster/roster/"

// Entry is the row of an entry.
type Entry struct {
	Peer       messenger.Peer `json:"peer"`
	Region     string         `json:"region"`
	DataCentre string         `json:"data-centre"`
	PeerAddr   netip.AddrPort `json:"peer-address"`
	// Draining is set while the entry must not own partitions.
	Draining bool `json:"draining,omitempty"`
	// RosterVersion is the version of the region's roster that the entry uses.
	RosterVersion uint64 `json:"roster"`
	// Recovering is set while the entry has taken over partitions whose former
	// owners may not be fenced yet.
	Recovering bool `json:"recovering,omitempty"`
}

// Ownership is the value of a partition's row.
type Ownership struct {
	// Owner is the entry that owns the partition; empty if it never had an owner.
	Owner messenger.Peer `json:"owner"`
	// Epoch increases by one with every change of owner.
	Epoch uint64 `json:"epoch"`
	// Region is the region of the partition and of all its owners.
	Region string `json:"region"`
	// Handover identifies the handover that wrote this row; empty after a takeover.
	// After a handover, the new owner has the former owner's records.
	Handover string `json:"handover,omitempty"`
}

// Partition is a partition's row with its revision.
type Partition struct {
	Ownership
	Revision uint64 // Revision is 0 if there is no row.
}

// Roster is the value of a region's row of agents.
type Roster struct {
	// Version increases by one with every change.
	Version uint64 `json:"version"`
	// Members are the agents that may be given tasks, sorted by name.
	Members []Member `json:"members"`
	// Departed are former members whose records may still be needed.
	Departed []Departed `json:"departed,omitempty"`
	// Witnesses are the members of which a majority must confirm a lease, sorted.
	Witnesses []messenger.Peer `json:"witnesses"`
	// PreviousWitnesses are the former witnesses that some entry may still use,
	// sorted; empty once every entry uses Witnesses.
	PreviousWitnesses []messenger.Peer `json:"previous,omitempty"`
	// WitnessVersion is the version at which Witnesses last changed.
	WitnessVersion uint64 `json:"witness-version"`
}

// Member is an agent in the roster.
type Member struct {
	Peer       messenger.Peer `json:"peer"`
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack"`
}

// Departed is an agent that left the roster.
type Departed struct {
	Peer messenger.Peer `json:"peer"`
	// Version is the version of the first roster without the agent.
	Version uint64 `json:"version"`
	// SettledAt is the wall-clock time at which every entry was seen to use Version
	// or a later one; zero while some entry may still use the agent.
	SettledAt time.Time `json:"settled-at,omitzero"`
	// DeclaredAt is the wall-clock time at which an operator declared the agent
	// dead; zero otherwise. A declared agent never becomes a member again.
	DeclaredAt time.Time `json:"declared-at,omitzero"`
	// Successor is the agent that received the records, if this agent transferred
	// them before it left. Such an agent never becomes a member again.
	Successor messenger.Peer `json:"heir,omitempty"`
}

// isRemoved reports whether the agent can never become a member again.
func (d *Departed) isRemoved() bool { return !d.DeclaredAt.IsZero() || d.Successor != "" }

// RegionRoster is a region's roster with the revision of its row.
type RegionRoster struct {
	Region   string
	Revision uint64 // Revision is 0 if there is no row.
	Roster
}

// HasMember reports whether the agent is a member.
func (r *Roster) HasMember(peer messenger.Peer) bool {
	for i := range r.Members {
		if r.Members[i].Peer == peer {
			return true
		}
	}
	return false
}

// DeclaredDead returns the agents that an operator has declared dead, sorted.
func (r *Roster) DeclaredDead() []messenger.Peer {
	var out []messenger.Peer
	for i := range r.Departed {
		if !r.Departed[i].DeclaredAt.IsZero() {
			out = append(out, r.Departed[i].Peer)
		}
	}
	slices.Sort(out)
	return out
}

// IsRemoved reports whether the agent has departed and can never become a member
// again.
func (r *Roster) IsRemoved(peer messenger.Peer) bool {
	return slices.ContainsFunc(r.Departed, func(d Departed) bool { return d.Peer == peer && d.isRemoved() })
}

// Successor returns the agent that received the records of a departed one; empty if
// there is none.
func (r *Roster) Successor(peer messenger.Peer) messenger.Peer {
	for i := range r.Departed {
		if r.Departed[i].Peer == peer {
			return r.Departed[i].Successor
		}
	}
	return ""
}

// IsWitness reports whether the agent is a present or previous witness.
func (r *Roster) IsWitness(peer messenger.Peer) bool {
	return slices.Contains(r.Witnesses, peer) || slices.Contains(r.PreviousWitnesses, peer)
}

// EntryPut returns the put of an entry's row.
func EntryPut(e Entry) storer.Put {
	return storer.Put{Key: EntryKey(e.Peer), Value: encode(e)}
}

// EntryKey returns the key of an entry's row.
func EntryKey(peer messenger.Peer) string { return entryPrefix + string(peer) }

// PartitionPut returns the put of a partition's row.
func PartitionPut(p identifier.Partition, o Ownership) storer.Put {
	return storer.Put{Key: partitionKey(p), Value: encode(o)}
}

// PartitionCondition requires that a partition's row has not changed since it was
// read.
func PartitionCondition(p identifier.Partition, known Partition) storer.Condition {
	return storer.Condition{Key: partitionKey(p), Revision: known.Revision}
}

// RosterPut returns the put of a region's roster row.
func RosterPut(region string, r Roster) storer.Put {
	return storer.Put{Key: rosterPrefix + region, Value: encode(r)}
}

// ReadRosters decodes the rows whose keys have [RosterPrefix]. Rows that cannot be
// decoded are skipped.
func ReadRosters(rows storer.Range) []RegionRoster {
	var out []RegionRoster
	for _, row := range rows.Rows {
		if roster, ok := readRoster(row); ok {
			out = append(out, roster)
		}
	}
	return out
}

func readRoster(row storer.Row) (RegionRoster, bool) {
	roster := RegionRoster{Region: strings.TrimPrefix(row.Key, rosterPrefix), Revision: row.Revision}
	err := json.Unmarshal(row.Value, &roster.Roster)
	return roster, err == nil
}

// RosterCondition requires that a region's roster row has not changed since it was
// read.
func RosterCondition(known RegionRoster) storer.Condition {
	return storer.Condition{Key: rosterPrefix + known.Region, Revision: known.Revision}
}

func partitionKey(p identifier.Partition) string {
	return fmt.Sprintf("%s%03d", partitionPrefix, p)
}

func parsePartitionKey(key string) (identifier.Partition, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, partitionPrefix))
	if err != nil || n < 0 || n >= identifier.Partitions {
		return 0, false
	}
	return identifier.Partition(n), true
}

// encode marshals a type of this package, which cannot fail.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
