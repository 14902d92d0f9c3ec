package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/leaser"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Limits are the settings of a coordinator.
type Limits struct {
	Owner     owner.Limits
	Placer    placer.Limits
	Registrar registrar.Limits
	Leaser    leaser.Limits
	Recoverer recoverer.Limits
	Enroller  enroller.Limits
	// StartTimeout is the longest time from sending a start until its task starts at
	// the upstream; a later start is refused.
	StartTimeout time.Duration
	// SuspicionTimeout is how long an entry may send nothing before its partitions are
	// taken over.
	SuspicionTimeout time.Duration
	// EntryHeartbeatInterval is the interval of heartbeats between entries.
	EntryHeartbeatInterval time.Duration
	// MinConnectionAge is how long an entry must have been connected before it is
	// handed partitions.
	MinConnectionAge time.Duration
	// HandoverBytes is the approximate size limit of the records of one handover,
	// unless a single partition has more. HandoverPieceBytes is the limit of one
	// message of it.
	HandoverBytes, HandoverPieceBytes int
	// AnswerGracePeriod is how long after a deadline this entry waits for the owner's
	// answer.
	AnswerGracePeriod time.Duration
	// Regions lists all regions, in an order that never changes. If it is empty, there
	// is only the region of the entry.
	Regions []string
}

// Rules has the checks on which at-most-once execution rests.
type Rules struct {
	Registrar registrar.Rules
	Leaser    leaser.Rules
	Recoverer recoverer.Rules
	// Enrolled reports whether an agent may be admitted and given tasks.
	Enrolled func(member bool) bool
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules {
	return Rules{
		Registrar: registrar.DefaultRules(),
		Leaser:    leaser.DefaultRules(),
		Recoverer: recoverer.DefaultRules(),
		Enrolled:  func(member bool) bool { return member },
	}
}
