// Package administrator serves the administration API over HTTP and defines what
// entries ask each other for it.
//
// A listing is made of parts: each entry answers a [Call] with its own part as
// JSON, and the entry that was asked over HTTP joins the parts and names the
// entries that did not answer. A change is named by a change id; it takes effect
// once, however often it is asked for, and leaves a [Record] in the object
// store.
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

// Call names what one entry asks another for.
type Call string

// The calls. The comment says what the body of the query and of the reply are.
const (
	CallEntry      Call = "entry"       // Nothing; Entry.
	CallUpstreams  Call = "upstreams"   // Nothing; []Upstream.
	CallPartitions Call = "partitions"  // Nothing; []Partition.
	CallUsage      Call = "usage"       // Nothing; []Usage.
	CallBurn       Call = "burn"        // Nothing; an encoded reporter.Snapshot.
	CallJob        Call = "job"         // JobQuery; JobReply.
	CallCancelJob  Call = "cancel-job"  // JobQuery; JobReply.
	CallCancelJobs Call = "cancel-jobs" // Selection; Cancelled.
	CallHolds      Call = "holds"       // Nothing; nothing: read the holds anew.
	CallRestore    Call = "restore"     // Restore; Restored: end an ejection by the placer.
	CallConfig     Call = "config"      // Nothing; []ConfigStatus.
	CallRoster     Call = "roster"      // Nothing; []RosterAgent.
)

// Part is the answer of one entry.
type Part struct {
	Peer messenger.Peer
	Body []byte
	// Detail says why there is no answer; it is empty if there is one.
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

// EntryState says whether an entry takes requests.
type EntryState string

// The states of an entry.
const (
	EntryServing  EntryState = "serving"
	EntryDrained  EntryState = "drained"  // An operator keeps requests away.
	EntryStopping EntryState = "stopping" // The entry shuts down.
	EntrySilent   EntryState = "silent"   // The entry did not answer.
)

// Upstream is one upstream as one entry, or all of them together, see it.
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
	// FailureRatio is the greatest that an entry sees.
	FailureRatio float64 `json:"failure-ratio"`
	// Ejected says why an entry has ejected the upstream by itself; empty if none has.
	Ejected string `json:"ejected,omitempty"`
	// EjectedBy counts the entries that have ejected it by themselves.
	EjectedBy int `json:"ejected-by,omitempty"`
	// Hold is what an operator has ordered.
	Hold placer.Hold `json:"hold,omitempty"`
	// SeenBy counts the entries that are connected to it.
	SeenBy int `json:"seen-by"`
}

// Partition is the state of one partition.
type Partition struct {
	Partition identifier.Partition `json:"partition"`
	Region    string               `json:"region"`
	// Owner is empty while nobody owns the partition.
	Owner messenger.Peer `json:"owner"`
	Epoch uint64         `json:"epoch"`
	// Phase is how far the owner has come with the partition. It and what follows
	// are told by the owner only.
	Phase recoverer.Phase `json:"phase,omitempty"`
	// LeaseLeft is how long the owner may start tasks without hearing from agents.
	LeaseLeft *submitter.Duration `json:"lease-left,omitempty"`
	// UncertainBefore is the end of the submission times whose jobs the owner
	// cannot decide; absent if there are none.
	UncertainBefore *time.Time `json:"uncertain-before,omitempty"`
	// Missing are the agents whose records the owner lacks.
	Missing []messenger.Peer `json:"missing,omitempty"`
}

// Usage is what the jobs of one service and team amount to.
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
	// Undecided means that the entry cannot tell yet whether there is such a job.
	Undecided bool `json:"undecided,omitempty"`
}

// JobState is where a job stands.
type JobState = submitter.JobState

// Selection selects open jobs; an empty name stands for all.
type Selection struct {
	Service string `json:"service"`
	Team    string `json:"team"`
}

// Restore names an upstream that is to take work again.
type Restore struct {
	Peer messenger.Peer `json:"peer"`
}

// Restored says whether the entry had ejected the upstream.
type Restored struct {
	Ended bool `json:"ended"`
}

// ConfigStatus is how one process stands to the current version.
type ConfigStatus struct {
	applier.Status
	// InForceFor is how long the version has been in force.
	InForceFor submitter.Duration `json:"in-force-for,omitzero"`
	// Age is the time since the table last said which version is current; absent
	// if it never did or the process reads no table.
	Age *submitter.Duration `json:"age,omitempty"`
}

// Cancelled says how many jobs were cancelled.
type Cancelled struct {
	Jobs int `json:"jobs"`
}
