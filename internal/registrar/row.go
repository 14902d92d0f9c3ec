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

// The prefixes of the shared rows.
const (
	allPrefix       = "cluster/"
	entryPrefix     = "cluster/entries/"
	partitionPrefix = "cluster/partitions/"
	rosterPrefix    = RosterPrefix
	// revisionKey has no row: a read of it asks for the table's revision alone.
	revisionKey = "cluster/revision"
)

// RosterPrefix is the prefix of the rows of rosters.
const RosterPrefix = "cluster/roster/"

// Entry is the row of an entry.
type Entry struct {
	Peer       messenger.Peer `json:"peer"`
	Region     string         `json:"region"`
	DataCentre string         `json:"data-centre"`
	PeerAddr   netip.AddrPort `json:"peer-address"`
	// Draining means that the entry takes no partitions.
	Draining bool `json:"draining,omitempty"`
	// Roster is the version of the region's roster that the entry relies on.
	RosterVersion uint64 `json:"roster"`
	// Recovering means that the entry has taken partitions over and that their
	// former owners may not be fenced yet.
	Recovering bool `json:"recovering,omitempty"`
}

// Ownership is the value of a partition's row.
type Ownership struct {
	// Owner is the entry that owns the partition; empty if nobody ever did.
	Owner messenger.Peer `json:"owner"`
	// Epoch grows by one with every change of owner.
	Epoch uint64 `json:"epoch"`
	// Region is that of every owner of the partition.
	Region string `json:"region"`
	// Handover names the handover that made this row, if one did. The new owner
	// has the former owner's records then and nothing is uncertain.
	Handover string `json:"handover,omitempty"`
}

// Partition is a partition's row with its revision.
type Partition struct {
	Ownership
	Revision uint64 // Revision is 0 if there is no row.
}

// Roster is the value of a region's row of agents.
type Roster struct {
	// Version grows by one with every change.
	Version uint64 `json:"version"`
	// Members are the agents that may be given tasks, sorted by name.
	Members []Member `json:"members"`
	// Departed are agents that were members and whose records may still matter.
	Departed []Departed `json:"departed,omitempty"`
	// Witnesses are the members whose majority a lease rests on, sorted.
	Witnesses []messenger.Peer `json:"witnesses"`
	// Previous are the witnesses that some entry may still rely on, sorted; empty
	// once every entry relies on Witnesses.
	PreviousWitnesses []messenger.Peer `json:"previous,omitempty"`
	// WitnessVersion is the version at which Witnesses last changed.
	WitnessVersion uint64 `json:"witness-version"`
}

// Member is an agent of the roster.
type Member struct {
	Peer       messenger.Peer `json:"peer"`
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack"`
}

// Departed is an agent that left the roster.
type Departed struct {
	Peer messenger.Peer `json:"peer"`
	// Version is that of the first roster without the agent.
	Version uint64 `json:"version"`
	// SettledAt is the wall-clock time at which every entry was seen to rely on
	// Version or a later one; zero while some entry may still use the agent.
	SettledAt time.Time `json:"settled-at,omitzero"`
	// DeclaredAt is the wall-clock time at which an operator declared the agent
	// dead; zero for one that left by itself. Such an agent is never a member again.
	DeclaredAt time.Time `json:"declared-at,omitzero"`
	// Heir is the agent that has the records, if the agent left in good order. Such
	// an agent is never a member again.
	Successor messenger.Peer `json:"heir,omitempty"`
}

// gone reports whether the agent can be no member any more.
func (d *Departed) gone() bool { return !d.DeclaredAt.IsZero() || d.Successor != "" }

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

// Declared returns the agents that an operator has declared dead, sorted.
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

// IsGone reports whether the agent has departed for good.
func (r *Roster) IsRemoved(peer messenger.Peer) bool {
	return slices.ContainsFunc(r.Departed, func(d Departed) bool { return d.Peer == peer && d.gone() })
}

// Heir returns the agent that has the records of a departed one; empty if none has.
func (r *Roster) Successor(peer messenger.Peer) messenger.Peer {
	for i := range r.Departed {
		if r.Departed[i].Peer == peer {
			return r.Departed[i].Successor
		}
	}
	return ""
}

// IsWitness reports whether a lease may rest on the agent.
func (r *Roster) IsWitness(peer messenger.Peer) bool {
	return slices.Contains(r.Witnesses, peer) || slices.Contains(r.PreviousWitnesses, peer)
}

// EntryPut returns the write of an entry's row.
func EntryPut(e Entry) storer.Put {
	return storer.Put{Key: EntryKey(e.Peer), Value: encode(e)}
}

// EntryKey returns the key of an entry's row.
func EntryKey(peer messenger.Peer) string { return entryPrefix + string(peer) }

// PartitionPut returns the write of a partition's row.
func PartitionPut(p identifier.Partition, o Ownership) storer.Put {
	return storer.Put{Key: partitionKey(p), Value: encode(o)}
}

// PartitionCondition requires a partition's row to be as it is known.
func PartitionCondition(p identifier.Partition, known Partition) storer.Condition {
	return storer.Condition{Key: partitionKey(p), Revision: known.Revision}
}

// RosterPut returns the write of a region's roster.
func RosterPut(region string, r Roster) storer.Put {
	return storer.Put{Key: rosterPrefix + region, Value: encode(r)}
}

// ReadRosters reads the rows below [RosterPrefix]. Rows that cannot be read are
// left out.
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

// RosterCondition requires a region's roster to be as it is known.
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
