// Package administrator serves the administration API over HTTP and defines the
// calls between entries that it needs.
//
// The entry that receives an HTTP request for a listing sends a [Call] to every
// entry. Each entry answers with its own part as JSON; the receiving entry merges
// the parts and lists the entries that did not answer. A change is identified by a
// change id, which makes it idempotent: it takes effect once, however often it is
// requested, and leaves a [Record] in the object store.
package administrator

import (
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Call names a request from one entry to another.
type Call string

// The calls. Each comment gives the body of the query, then the body of the reply.
const (
	CallEntry       Call = "entry"        // Nothing; Entry.
	CallUpstreams   Call = "upstreams"    // Nothing; []Upstream.
	CallDataCentres Call = "data-centres" // Nothing; []DataCentre.
	CallPartitions  Call = "partitions"   // Nothing; []Partition.
	CallUsage       Call = "usage"        // Nothing; []Usage.
	CallBurn        Call = "burn"         // Nothing; an encoded reporter.Snapshot.
	CallJob         Call = "job"          // JobQuery; JobReply.
	CallCancelJob   Call = "cancel-job"   // JobQuery; JobReply.
	CallCancelJobs  Call = "cancel-jobs"  // Selection; Cancelled.
	CallHolds       Call = "holds"        // Nothing; nothing. The entry reads the holds again.
	CallRestore     Call = "restore"      // Restore; Restored. The entry ends an ejection by its placer.
	CallConfig      Call = "config"       // Nothing; []ConfigStatus.
	CallRoster      Call = "roster"       // Nothing; []RosterAgent.
)

// Part is the answer of one entry.
type Part struct {
	Peer messenger.Peer
	Body []byte
	// Detail is the reason why there is no answer; it is empty if there is one.
	Detail string
}

// Silent is an entry that did not answer.
type Silent struct {
	Entry  messenger.Peer `json:"entry"`
	Detail string         `json:"detail"`
}

// Entry is the state of one entry.
type Entry struct {
	Peer         messenger.Peer `json:"peer"`
	Region       string         `json:"region"`
	DataCentre   string         `json:"data-centre"`
	CallerAddr   netip.AddrPort `json:"caller-address"`
	PeerAddr     netip.AddrPort `json:"peer-address"`
	AdminAddr    netip.AddrPort `json:"admin-address"`
	State        EntryState     `json:"state"`
	Partitions   int            `json:"partitions"`
	Upstreams    int            `json:"upstreams"`
	OpenJobs     int            `json:"open-jobs"`
	AnsweredJobs int            `json:"answered-jobs"`
	QueuedTasks  int            `json:"queued-tasks"`
}

// EntryState is whether an entry accepts requests.
type EntryState string

// The states of an entry.
const (
	EntryServing  EntryState = "serving"
	EntryDrained  EntryState = "drained"  // An operator has drained the entry.
	EntryStopping EntryState = "stopping" // The entry is shutting down.
	EntrySilent   EntryState = "silent"   // The entry did not answer.
)

// Upstream is the state of an upstream as seen by one entry, or merged over all
// entries.
type Upstream struct {
	Peer       messenger.Peer          `json:"peer"`
	Region     string                  `json:"region"`
	DataCentre string                  `json:"data-centre"`
	Rack       string                  `json:"rack"`
	State      messenger.UpstreamState `json:"state"`
	Services   []string                `json:"services"`
	Slots      int                     `json:"slots"`
	// Credit and Outstanding are summed over the entries.
	Credit      int `json:"credit"`
	Outstanding int `json:"outstanding"`
	// FailureRatio is the highest ratio that any entry has measured.
	FailureRatio float64 `json:"failure-ratio"`
	// Ejected is the reason why an entry has ejected the upstream automatically;
	// empty if none has.
	Ejected string `json:"ejected,omitempty"`
	// EjectedBy counts the entries that have ejected the upstream automatically.
	EjectedBy int `json:"ejected-by,omitempty"`
	// Hold is the operator's hold on the upstream; empty if there is none.
	Hold placer.Hold `json:"hold,omitempty"`
	// SeenBy counts the entries that are connected to it.
	SeenBy int `json:"seen-by"`
}

// Partition is the state of one partition.
type Partition struct {
	Partition identifier.Partition `json:"partition"`
	Region    string               `json:"region"`
	// Owner is empty while the partition has no owner.
	Owner messenger.Peer `json:"owner"`
	Epoch uint64         `json:"epoch"`
	// Phase is the phase of the owner's takeover of the partition. This field and
	// those below are set only by the owner.
	Phase recoverer.Phase `json:"phase,omitempty"`
	// LeaseLeft is how much longer the owner may start tasks without receiving
	// messages from agents.
	LeaseLeft *submitter.Duration `json:"lease-left,omitempty"`
	// UncertainBefore bounds the submission times for which the owner cannot decide
	// whether a job exists; it is absent if there are none.
	UncertainBefore *time.Time `json:"uncertain-before,omitempty"`
	// Missing lists the agents whose records the owner has not received.
	Missing []messenger.Peer `json:"missing,omitempty"`
}

// Usage counts the jobs and tasks of one service and team.
type Usage struct {
	Service      string `json:"service"`
	Team         string `json:"team"`
	OpenJobs     int    `json:"open-jobs"`
	AnsweredJobs int    `json:"answered-jobs"`
	WaitingTasks int    `json:"waiting-tasks"`
	SentTasks    int    `json:"sent-tasks"`
}

// JobQuery names a job.
type JobQuery struct {
	Submission identifier.Submission `json:"submission-id"`
	Team       string                `json:"team"`
	// AnyTeam is set for operators; otherwise only jobs of the team are found.
	AnyTeam bool `json:"any-team"`
}

// JobReply answers a JobQuery. A job of another team is not found.
type JobReply struct {
	Found bool      `json:"found"`
	State *JobState `json:"state,omitempty"`
	// Undecided is set while the entry cannot yet decide whether the job exists.
	Undecided bool `json:"undecided,omitempty"`
}

// JobState is the state of a job.
type JobState = submitter.JobState

// Selection selects open jobs; an empty name selects all.
type Selection struct {
	Service string `json:"service"`
	Team    string `json:"team"`
}

// Restore names an upstream whose ejection is to end.
type Restore struct {
	Peer messenger.Peer `json:"peer"`
}

// Restored is the answer to [CallRestore].
type Restored struct {
	// Ended is true if the entry had ejected the upstream.
	Ended bool `json:"ended"`
}

// ConfigStatus compares the configuration version of one process with the current
// version.
type ConfigStatus struct {
	applier.Status
	// InForceFor is how long the version has been in force.
	InForceFor submitter.Duration `json:"in-force-for,omitzero"`
	// Age is the time since the process last learned from the table which version is
	// current; it is absent if it never did or if the process does not read the table.
	Age *submitter.Duration `json:"age,omitempty"`
}

// Cancelled is the number of jobs that were cancelled.
type Cancelled struct {
	Jobs int `json:"jobs"`
}
