package messenger

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// HandoverStep is a step of a handover.
type HandoverStep string

// The steps of a handover, in order. The records come in pieces, the first with
// the offer, and each further one when the peer asks for it, so that a large
// handover holds up nothing else on the connection.
const (
	HandoverOffer   HandoverStep = "offer"   // The owner has stopped and passes the first piece.
	HandoverNext    HandoverStep = "next"    // The peer has a piece and asks for the next.
	HandoverRecords HandoverStep = "records" // The owner passes a further piece.
	HandoverAccept  HandoverStep = "accept"  // The peer has all records.
	HandoverCancel  HandoverStep = "cancel"  // The owner goes on; the records are void.
)

// Handover passes partitions with their records from one entry to another.
type Handover struct {
	ID         string              `cbor:"1,keyasint"` // ID is unique to the handover.
	Step       HandoverStep        `cbor:"2,keyasint"`
	Partitions []HandoverPartition `cbor:"3,keyasint,omitempty"` // Partitions come with the offer.
	Jobs       []HandoverJob       `cbor:"4,keyasint,omitempty"`
	// Piece counts the pieces from 0: of an offer and of records it is the piece
	// that they bring, of next the piece that is asked for.
	Piece int `cbor:"5,keyasint,omitempty"`
	// Last means that no piece follows.
	Last bool `cbor:"6,keyasint,omitempty"`
}

// HandoverPartition is one partition of a handover.
type HandoverPartition struct {
	Partition identifier.Partition `cbor:"1,keyasint"`
	// Epoch is that of the owner that passes the partition on.
	Epoch uint64 `cbor:"2,keyasint"`
	// PastBefore is the end of the ids that may have been with an owner before the
	// sender; zero if there are none.
	UncertainBefore time.Time `cbor:"3,keyasint,omitempty"`
	// Incomplete means that some agent's records of those ids are not known.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
}

// HandoverJob is one submission with all that its owner knows.
type HandoverJob struct {
	Job Forward `cbor:"1,keyasint"`
	// Answer is set if the job is answered.
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Tasks has the tasks that were sent to an agent, for a job without an answer.
	Tasks []HandoverTask `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the job, as in its Start.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the answer, or since the job was last heard of.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Recovered means that the job is known from agents' records only: Job.Tasks
	// is absent and Tasks says all that is known.
	Recovered bool `cbor:"6,keyasint,omitempty"`
	// Cancelled means that an agent will start no more of a recovered job.
	Cancelled bool `cbor:"7,keyasint,omitempty"`
	// AnswerLost means that the answer was given and is no longer kept.
	AnswerLost bool `cbor:"8,keyasint,omitempty"`
}

// What a message spends beside payloads and names; about what CBOR takes.
const (
	handoverJobBytes  = 128
	handoverTaskBytes = 64
	// handoverResultBytes is the head of a byte string.
	handoverResultBytes = 8
)

// Size returns about how many bytes the job takes in a message, and not less.
func (j *HandoverJob) Size() int {
	n := handoverJobBytes + len(j.Job.Service) + len(j.Job.Team) + len(j.Job.RequestKey)
	if j.Answer != nil {
		n += len(j.Answer.Detail) + len(j.Answer.Reason)
		for _, r := range j.Answer.Results {
			n += handoverResultBytes + len(r)
		}
	}
	for i := range j.Tasks {
		n += handoverTaskBytes + len(j.Tasks[i].Agent)
		if r := j.Tasks[i].Result; r != nil {
			n += handoverTaskBytes + len(r.Payload) + len(r.Detail)
		}
	}
	return n
}

// HandoverTask is one task that was sent to an agent.
type HandoverTask struct {
	Index  uint16      `cbor:"1,keyasint"`
	Agent  Peer        `cbor:"2,keyasint"`
	Result *TaskResult `cbor:"3,keyasint,omitempty"`
}
