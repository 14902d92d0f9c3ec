package messenger

import "time"

// Cancellation is what one entry tells or asks another about a cancelled ephemeral job. Each of them
// tells the receiver that the job was cancelled, so that it ends the job if it has it.
type Cancellation struct {
	Job  string           `cbor:"1,keyasint"`
	Step CancellationStep `cbor:"2,keyasint"`
	// Age is the time since the cancel, when the message is built.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// IsFound is set if an entry is known to have had the job.
	IsFound bool `cbor:"4,keyasint,omitempty"`
}

// CancellationStep is the step of a [Cancellation].
type CancellationStep string

// The steps of a cancellation.
const (
	CancellationTold    CancellationStep = "told"
	CancellationAsked   CancellationStep = "asked"   // The receiver answers whether it had the job.
	CancellationFound   CancellationStep = "found"   // It had the job, which it has ended.
	CancellationUnknown CancellationStep = "unknown" // It did not have the job.
)
