// Package messenger defines the messages between the system's own processes and
// their encoding.
//
// A [Frame] is the unit that a process queues on a connection. It has one field for
// each kind of message, so that all messages that are ready for a peer are sent
// together. Frames are CBOR maps with small integer keys; a WebSocket message is a
// sequence of one or more frames. Unknown keys are ignored, so that a newer peer may
// add fields; [ProtocolVersion] changes when the meaning of a known field changes.
package messenger

import (
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// ProtocolVersion is the version that both sides of a connection must share.
const ProtocolVersion = 1

// Role is what a process does in the system.
type Role string

// The roles of processes that open or accept connections.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Peer identifies one incarnation of a process. A restarted process is a different
// peer, since its state in memory is lost.
type Peer string

// Frame is the unit that is encoded and sent.
type Frame struct {
	Hello                  *Hello                 `cbor:"1,keyasint,omitempty"`
	Contact                *Contact               `cbor:"2,keyasint,omitempty"`
	Starts                 []Start                `cbor:"3,keyasint,omitempty"`
	Results                []Result               `cbor:"4,keyasint,omitempty"`
	Cancels                []Cancel               `cbor:"5,keyasint,omitempty"`
	CancelAcks             []CancelAck            `cbor:"6,keyasint,omitempty"`
	Capacity               *Capacity              `cbor:"7,keyasint,omitempty"`
	Credit                 *Credit                `cbor:"8,keyasint,omitempty"`
	Fence                  *Fence                 `cbor:"9,keyasint,omitempty"`
	Fenced                 []Fenced               `cbor:"10,keyasint,omitempty"`
	Forwards               []Forward              `cbor:"11,keyasint,omitempty"`
	Answers                []Answer               `cbor:"12,keyasint,omitempty"`
	Handover               *Handover              `cbor:"13,keyasint,omitempty"`
	Routes                 *Routes                `cbor:"14,keyasint,omitempty"`
	Config                 *Config                `cbor:"15,keyasint,omitempty"`
	Settled                []Settlement           `cbor:"16,keyasint,omitempty"`
	Query                  []AdminQuery           `cbor:"17,keyasint,omitempty"`
	Reports                []AdminReply           `cbor:"18,keyasint,omitempty"`
	Admit                  *Admit                 `cbor:"19,keyasint,omitempty"`
	Moved                  []Moved                `cbor:"20,keyasint,omitempty"`
	Expel                  *Expel                 `cbor:"21,keyasint,omitempty"`
	RecordTransfers        []RecordTransfer       `cbor:"22,keyasint,omitempty"`
	RecordTransferStatuses []RecordTransferStatus `cbor:"23,keyasint,omitempty"`
	Launches               []Launch               `cbor:"24,keyasint,omitempty"`
	Withdraws              []Withdraw             `cbor:"25,keyasint,omitempty"`
	Ends                   []End                  `cbor:"26,keyasint,omitempty"`
	Load                   *Load                  `cbor:"27,keyasint,omitempty"`
	Stamp                  *Stamp                 `cbor:"28,keyasint,omitempty"`
	Crashes                []Crash                `cbor:"29,keyasint,omitempty"`
	OpenJobs               []OpenJob              `cbor:"30,keyasint,omitempty"`
	Recalls                []Recall               `cbor:"31,keyasint,omitempty"`
	Relays                 []Relay                `cbor:"32,keyasint,omitempty"`
	Inquiries              []Inquiry              `cbor:"33,keyasint,omitempty"`
	OutstandingStarts      []OutstandingStart     `cbor:"34,keyasint,omitempty"`
	Cancellations          []Cancellation         `cbor:"35,keyasint,omitempty"`
	Evacuations            *Evacuations           `cbor:"36,keyasint,omitempty"`
}

// Hello is the first message in both directions of a connection.
type Hello struct {
	Version    int            `cbor:"1,keyasint"`
	Peer       Peer           `cbor:"2,keyasint"`
	Role       Role           `cbor:"3,keyasint"`
	Region     string         `cbor:"4,keyasint"`
	DataCentre string         `cbor:"5,keyasint"`
	Rack       string         `cbor:"6,keyasint"`
	PeerAddr   netip.AddrPort `cbor:"7,keyasint"` // PeerAddr is where an entry accepts peers.
	// Epochs are the epochs that an agent holds, indexed by partition.
	Epochs []uint64 `cbor:"8,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force at the sender, or 0.
	ConfigVersion uint64 `cbor:"20,keyasint,omitempty"`
	// Instance names the machine of an agent, which a restart does not change.
	Instance string `cbor:"21,keyasint,omitempty"`
}

// Contact is the heartbeat that renews leases. It is piggybacked on other messages.
// An entry sets Ping; the agent returns the highest Ping that it has received as
// Echo. A lease runs from the time at which the echoed ping was sent, never from the
// time at which the echo arrived.
type Contact struct {
	Ping uint64 `cbor:"1,keyasint,omitempty"`
	Echo uint64 `cbor:"2,keyasint,omitempty"`
	// Clock is the agent's monotonic clock when it built the message. Start-by times are
	// expressed on that clock, so that no two wall clocks are compared.
	Clock time.Duration `cbor:"3,keyasint,omitempty"`
	// Raised lists partitions whose epoch the agent has raised since its last
	// contact on this connection.
	Raised []PartitionEpoch `cbor:"4,keyasint,omitempty"`
}

// PartitionEpoch is one partition with an epoch.
type PartitionEpoch struct {
	Partition identifier.Partition `cbor:"1,keyasint"`
	Epoch     uint64               `cbor:"2,keyasint"`
}

// Start asks an agent to start tasks of one submission. It carries all tasks of the
// job that are assigned to the agent at the same time.
type Start struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Epoch      uint64                `cbor:"2,keyasint"`
	Service    string                `cbor:"3,keyasint"`
	Path       string                `cbor:"4,keyasint"`
	// StartBy is on the agent's clock. A task that has not started by then is refused.
	StartBy time.Duration `cbor:"5,keyasint"`
	// EndBy is on the agent's clock. A task that still runs at that time is stopped.
	EndBy time.Duration `cbor:"6,keyasint"`
	Tasks []TaskStart   `cbor:"7,keyasint"`
	// RequestKey and Digest are stored in the agent's record, where a new owner reads them.
	RequestKey string `cbor:"8,keyasint,omitempty"`
	Digest     uint64 `cbor:"9,keyasint,omitempty"`
	// RemainingWork is the expected time to finish the job's remaining tasks on all slots.
	// Starts that wait at the agent run in ascending order of it.
	RemainingWork time.Duration `cbor:"10,keyasint,omitempty"`
}

// TaskStart is one task of a Start.
type TaskStart struct {
	Index        uint16 `cbor:"1,keyasint"`
	Payload      []byte `cbor:"2,keyasint"`
	MemoryBytes  int64  `cbor:"3,keyasint,omitempty"`
	Accelerators int    `cbor:"4,keyasint,omitempty"`
}

// ResultKind says how a task ended at an agent.
type ResultKind string

// The kinds of results.
const (
	ResultDone    ResultKind = "done"    // The upstream answered with success.
	ResultFailed  ResultKind = "failed"  // The task started and failed.
	ResultRefused ResultKind = "refused" // The task did not start, and the agent will not start it in this epoch.
)

// Refusal says why an agent refused a start.
type Refusal string

// The reasons of refusals by an agent.
const (
	RefusalStaleEpoch Refusal = "stale-epoch"
	RefusalDuplicate  Refusal = "duplicate" // The task was started before; it may have run.
	RefusalExpired    Refusal = "expired"
	RefusalLeaving    Refusal = "leaving"
	RefusalLapsed     Refusal = "announcement-lapsed"
	RefusalFull       Refusal = "full"
	RefusalCancelled  Refusal = "cancelled"
	RefusalMemory     Refusal = "record-memory-limit"
	RefusalUnadmitted Refusal = "not-admitted" // The agent is not yet part of the roster.
	RefusalFenced     Refusal = "fenced"       // A fence of the same epoch arrived while the start waited.
	RefusalInvalid    Refusal = "invalid"      // The task index is beyond the largest job.
)

// Result carries the outcomes of tasks of one submission.
type Result struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Tasks      []TaskResult          `cbor:"2,keyasint"`
}

// FailureCause says why a task that started failed.
type FailureCause string

// The causes of failures.
const (
	CauseUpstream FailureCause = "upstream" // The upstream answered with an error, or not at all.
	CauseDeadline FailureCause = "deadline" // The agent ended the call at the deadline.
)

// TaskResult is the outcome of one task.
type TaskResult struct {
	Index   uint16        `cbor:"1,keyasint"`
	Kind    ResultKind    `cbor:"2,keyasint"`
	Refusal Refusal       `cbor:"3,keyasint,omitempty"`
	Detail  string        `cbor:"4,keyasint,omitempty"`
	Payload []byte        `cbor:"5,keyasint,omitempty"`
	RunTime time.Duration `cbor:"6,keyasint,omitempty"`
	// PeakMemoryBytes is the peak memory that the upstream reported for the task, or 0.
	PeakMemoryBytes int64 `cbor:"7,keyasint,omitempty"`
	// Cause is set if and only if Kind is [ResultFailed].
	Cause FailureCause `cbor:"8,keyasint,omitempty"`
}

// Cancel asks an agent to stop the running tasks of a submission and to start no
// more of them. The agent answers with a [CancelAck].
type Cancel struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Epoch      uint64                `cbor:"2,keyasint"`
}

// CancelAck lists the tasks of a cancelled submission that had started at the agent.
// No other task of the submission will start there.
type CancelAck struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Started    []uint16              `cbor:"2,keyasint,omitempty"`
}

// Settlement tells an agent that the owner has received the results of a submission.
// The agent may then delete their payloads, but keeps the record of the tasks that
// started.
type Settlement struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
}

// UpstreamState is the state of an upstream as its agent reports it.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamAbsent  UpstreamState = "absent"
	UpstreamServing UpstreamState = "serving"
	UpstreamLeaving UpstreamState = "leaving"
)

// Capacity is an agent's report of the state and capacity of its upstream. It is sent
// on change only.
type Capacity struct {
	State        UpstreamState `cbor:"1,keyasint"`
	Services     []string      `cbor:"2,keyasint"`
	Slots        int           `cbor:"3,keyasint"`
	Connections  int           `cbor:"4,keyasint"`
	MemoryBytes  int64         `cbor:"5,keyasint"`
	Accelerators int           `cbor:"6,keyasint"`
}

// Credit divides an agent's slots between entries. An agent sets Limit to the number of
// starts that the entry may have outstanding at the agent. An entry sets Backlog to the
// number of its tasks that wait for a slot.
type Credit struct {
	Limit   int `cbor:"1,keyasint,omitempty"`
	Backlog int `cbor:"2,keyasint,omitempty"`
}

// Forward carries a submission from the entry that received it to the owner.
type Forward struct {
	Ticket     uint64                `cbor:"1,keyasint"`
	Submission identifier.Submission `cbor:"2,keyasint"`
	Service    string                `cbor:"3,keyasint"`
	Team       string                `cbor:"4,keyasint"`
	RequestKey string                `cbor:"5,keyasint,omitempty"`
	// Remaining is the time left until the deadline when the message is built.
	Remaining time.Duration `cbor:"6,keyasint"`
	Tasks     []TaskSpec    `cbor:"7,keyasint"`
	// Attach asks for the answer of a known submission; Tasks is absent.
	Attach bool `cbor:"8,keyasint,omitempty"`
	// Cancel asks to cancel the submission.
	Cancel bool `cbor:"9,keyasint,omitempty"`
	// NewID is set if the sending entry generated the id for this request, so that no
	// earlier request can have used it.
	NewID bool `cbor:"10,keyasint,omitempty"`
	// Resent is set if the request was sent to another owner before, which did not
	// answer it.
	Resent bool `cbor:"12,keyasint,omitempty"`
	// Abandon is set if the caller of the ticket has disconnected; besides it, only
	// Ticket and Submission are set.
	Abandon bool `cbor:"11,keyasint,omitempty"`
}

// Moved returns a [Forward]: the sender no longer owns the partition.
type Moved struct {
	Ticket uint64 `cbor:"1,keyasint"`
}

// TaskSpec is one task as declared by the caller.
type TaskSpec struct {
	Payload      []byte        `cbor:"1,keyasint"`
	RunTime      time.Duration `cbor:"2,keyasint,omitempty"`
	MemoryBytes  int64         `cbor:"3,keyasint,omitempty"`
	Accelerators int           `cbor:"4,keyasint,omitempty"`
	Repeatable   bool          `cbor:"5,keyasint,omitempty"`
}

// Answer is the answer to a Forward.
type Answer struct {
	Ticket     uint64                `cbor:"1,keyasint"`
	Submission identifier.Submission `cbor:"2,keyasint"`
	Outcome    string                `cbor:"3,keyasint"`
	Reason     string                `cbor:"4,keyasint,omitempty"`
	Detail     string                `cbor:"5,keyasint,omitempty"`
	RetryAfter time.Duration         `cbor:"6,keyasint,omitempty"`
	Results    [][]byte              `cbor:"7,keyasint,omitempty"`
}

// Routes tells a peer the known entries and the table revision that the sender has
// read. The owners of partitions are in the rows of the table only.
type Routes struct {
	Entries []EntryAddr `cbor:"1,keyasint,omitempty"`
	// Revision is the latest table revision that the sender has read.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Addresses returns the listed addresses: those that the sender is connected to, and the
// others.
func (r *Routes) Addresses() (connected, others []netip.AddrPort) {
	for _, e := range r.Entries {
		if e.Connected {
			connected = append(connected, e.Addr)
		} else {
			others = append(others, e.Addr)
		}
	}
	return connected, others
}

// EntryAddr is the address at which an entry accepts peers.
type EntryAddr struct {
	Peer Peer           `cbor:"1,keyasint,omitempty"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
	// Connected is set if the sender is connected to the entry.
	Connected bool `cbor:"3,keyasint,omitempty"`
}

// Config propagates a version of the operators' configuration and states which version
// is in force at the sender.
type Config struct {
	// Version is the version in force at the sender, or 0.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Document is the whole version if sent to an entry, and the settings of the agent
	// if sent to an agent. It is absent if only the number is sent.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// SourceReachable is set if the sender can learn the current version: an entry that
	// reads the table, or an agent that is connected to such an entry.
	SourceReachable bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the version came into force at the sender.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// WantVersion requests the document of this or a later version; 0 requests none.
	WantVersion uint64 `cbor:"5,keyasint,omitempty"`
}

// AdminQuery asks a peer for part of its state, for listings across all entries.
type AdminQuery struct {
	Ticket uint64 `cbor:"1,keyasint"`
	// Call is the name of the call of the administration API.
	Call string `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

// AdminReply answers an AdminQuery with a JSON document.
type AdminReply struct {
	Ticket uint64 `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
}
