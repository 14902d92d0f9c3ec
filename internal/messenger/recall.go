package messenger

import "time"

// OpenJob tells the other entries of an ephemeral job that the sender has had open for some time.
type OpenJob struct {
	Job string `cbor:"1,keyasint"`
	// Age is the time since the latest submission of the job arrived; 0 if the sender doesn't tell.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Recall is a message about the runs of an ephemeral job between an entry at which the job was
// submitted again and the entry that has it open.
type Recall struct {
	Job  string     `cbor:"1,keyasint"`
	Step RecallStep `cbor:"2,keyasint"`
}

// RecallStep is a step of a recall.
type RecallStep string

// The steps of a recall.
const (
	RecallRequested RecallStep = "requested" // The caller has submitted the job to the sender.
	RecallAccepted  RecallStep = "accepted"  // The sender launches nothing more of the job, and ends its runs.
	RecallEnded     RecallStep = "ended"     // The sender has no run of the job.
)

// Inquiry is a message about an ephemeral job between an entry that has read its request late, and
// holds it, and another entry, at which the job may have been submitted as well.
type Inquiry struct {
	Job  string      `cbor:"1,keyasint"`
	Step InquiryStep `cbor:"2,keyasint"`
	// Age is, in the answer [InquiryOpen], the time since the latest submission of the job reached the
	// sender, at most.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// IsHeld is set, in that answer, if the sender asks about the job as well.
	IsHeld bool `cbor:"4,keyasint,omitempty"`
}

// InquiryStep is a step of an inquiry.
type InquiryStep string

// The steps of an inquiry.
const (
	InquiryRequested InquiryStep = "requested" // The sender asks whether the receiver has the job.
	InquiryUnknown   InquiryStep = "unknown"   // The sender does not have it, and recalls a later submission from the receiver.
	InquiryOpen      InquiryStep = "open"      // The sender has it: it is open or may have runs.
)
