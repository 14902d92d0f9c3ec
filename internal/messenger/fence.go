package messenger

import "sardinelock.dev/sardinelock/internal/identifier"

// Fence raises the epochs of partitions at an agent on behalf of a new owner, so that
// the agent rejects starts of former owners.
type Fence struct {
	Partitions []PartitionEpoch `cbor:"1,keyasint"`
	// UnsettledOnly asks only for records whose results the owner has not received. It is
	// used after a lost connection, while the epoch is the same.
	UnsettledOnly bool `cbor:"2,keyasint,omitempty"`
}

// Admit tells an agent that it is part of the roster. Until it receives this message,
// the agent refuses every start. The epochs of all partitions are read from the table
// after the roster was written, so that an owner that was replaced before the agent
// joined cannot start anything there.
type Admit struct {
	RosterVersion uint64   `cbor:"1,keyasint"` // RosterVersion is the version of the roster that includes the agent.
	Epochs        []uint64 `cbor:"2,keyasint"` // Epochs is indexed by partition.
}

// Expel tells an agent that an operator has declared it dead. From then on it refuses
// every start, whatever messages follow. Running tasks continue, and fences are
// answered.
type Expel struct {
	RosterVersion uint64 `cbor:"1,keyasint"` // RosterVersion is the version of the roster that declares the agent dead.
}

// Fenced is an agent's answer to a Fence, one for each partition.
type Fenced struct {
	Partition identifier.Partition `cbor:"1,keyasint"`
	Epoch     uint64               `cbor:"2,keyasint"`
	Records   []Record             `cbor:"3,keyasint,omitempty"`
}

// Record is what an agent stores about one submission.
type Record struct {
	Submission identifier.Submission `cbor:"1,keyasint"`
	Cancelled  bool                  `cbor:"2,keyasint,omitempty"`
	Running    []uint16              `cbor:"3,keyasint,omitempty"`
	// Ended are the tasks that started and ended. Their payloads are absent if the owner
	// had settled the submission.
	Ended []TaskResult `cbor:"4,keyasint,omitempty"`
	// RequestKey and Digest are copied from the Start.
	RequestKey string `cbor:"5,keyasint,omitempty"`
	Digest     uint64 `cbor:"6,keyasint,omitempty"`
	// Service is copied from the Start.
	Service string `cbor:"7,keyasint,omitempty"`
	// Settled is set if an owner has received the results; payloads are then absent.
	Settled bool `cbor:"8,keyasint,omitempty"`
}
