package messenger

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// HandoverStep is a step of a handover.
type HandoverStep string

// The steps of a handover, in order. The records are sent in pieces, the first with the
// offer and each further one when the peer requests it, so that a large handover does
// not block other messages on the connection.
const (
	HandoverOffer   HandoverStep = "offer"   // The owner has stopped serving and sends the first piece.
	HandoverNext    HandoverStep = "next"    // The peer has received a piece and requests the next.
	HandoverRecords HandoverStep = "records" // The owner sends a further piece.
	HandoverAccept  HandoverStep = "accept"  // The peer has received all records.
	HandoverCancel  HandoverStep = "cancel"  // The owner resumes; the peer discards the records.
)

// Handover transfers partitions with their records from one entry to another.
type Handover struct {
	ID         string              `cbor:"1,keyasint"` // ID is unique to the handover.
	Step       HandoverStep        `cbor:"2,keyasint"`
	Partitions []HandoverPartition `cbor:"3,keyasint,omitempty"` // Partitions are set in the offer only.
	Jobs       []HandoverJob       `cbor:"4,keyasint,omitempty"`
	// Piece is the index, from 0, of the piece that an offer or records carry, or that
	// next requests.
	Piece int `cbor:"5,keyasint,omitempty"`
	// Last is set in the last piece.
	Last bool `cbor:"6,keyasint,omitempty"`
}

// HandoverPartition is one partition of a handover.
type HandoverPartition struct {
	Partition identifier.Partition `cbor:"1,keyasint"`
	// Epoch is the epoch of the owner that hands the partition over.
	Epoch uint64 `cbor:"2,keyasint"`
	// UncertainBefore is the end of the range of ids that a former owner, before the
	// sender, may have handled; zero if there are none.
	UncertainBefore time.Time `cbor:"3,keyasint,omitempty"`
	// Incomplete is set if the records of some agent for these ids are unknown.
	Incomplete bool `cbor:"4,keyasint,omitempty"`
}

// HandoverJob is one submission with its owner's whole state of it.
type HandoverJob struct {
	Job Forward `cbor:"1,keyasint"`
	// Answer is set if the job has been answered.
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Tasks are the tasks that were sent to an agent, if the job has no answer.
	Tasks []HandoverTask `cbor:"3,keyasint,omitempty"`
	// Digest is the digest of the job, as in its [Start].
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the answer, or since the last message about the job.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Recovered is set if the job is known from agents' records only: Job.Tasks is
	// absent, and Tasks holds all known tasks.
	Recovered bool `cbor:"6,keyasint,omitempty"`
	// Cancelled is set if an agent will start no more tasks of a recovered job.
	Cancelled bool `cbor:"7,keyasint,omitempty"`
	// AnswerLost is set if the job was answered and the answer is no longer stored.
	AnswerLost bool `cbor:"8,keyasint,omitempty"`
}

// Estimates of the encoded size in CBOR, without payloads and names.
const (
	handoverJobBytes  = 128
	handoverTaskBytes = 64
	// handoverResultBytes is the size of the head of a byte string.
	handoverResultBytes = 8
)

// Size returns an upper estimate of the encoded size of the job in bytes.
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
