package messenger

import "sardinelock.dev/sardinelock/internal/identifier"

// Fence raises the epochs of partitions at an agent on behalf of a new owner.
type Fence struct {
	Partitions []PartitionEpoch `cbor:"1,keyasint"`
	// UnsettledOnly asks only for records whose results the owner does not have,
	// as after a lost connection under the same epoch.
	UnsettledOnly bool `cbor:"2,keyasint,omitempty"`
}

// Admit tells an agent that it is part of the roster. Until then the agent
// refuses every start. Epochs are those of all partitions, read from the table
// after the roster was written, so that no owner that was replaced before the
// agent joined can start anything there.
type Admit struct {
	RosterVersion uint64   `cbor:"1,keyasint"` // Roster is the version of the roster that has the agent.
	Epochs        []uint64 `cbor:"2,keyasint"` // Epochs is indexed by partition.
}

// Expel tells an agent that an operator has declared it dead. It starts nothing any
// more, whatever it is told later. What runs goes on, and fences are answered.
type Expel struct {
	RosterVersion uint64 `cbor:"1,keyasint"` // Roster is the version of the roster that says so.
}

// Fenced is an agent's answer to a Fence, one for each partition.
type Fenced struct {
	Partition identifier.Partition `cbor:"1,keyasint"`
	Epoch     uint64               `cbor:"2,keyasint"`
	Records   []Record             `cbor:"3,keyasint,omitempty"`
}

// Record is what an agent remembers about one submission.
type Record struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Cancelled  bool                  `cbor:"2,keyasint,omitempty"`
	Running    []uint16              `cbor:"3,keyasint,omitempty"`
	// Ended has the tasks that started and ended. Payload is absent where the
	// owner had settled the submission.
	Ended []TaskResult `cbor:"4,keyasint,omitempty"`
	// RequestKey and Digest are those of the Start.
	RequestKey string `cbor:"5,keyasint,omitempty"`
	Digest     uint64 `cbor:"6,keyasint,omitempty"`
	// Service is that of the Start.
	Service string `cbor:"7,keyasint,omitempty"`
	// Settled means that an owner had the results, so that payloads are absent.
	Settled bool `cbor:"8,keyasint,omitempty"`
}
