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
	// StartBudget is how long a start may be under way to its upstream.
	StartTimeout time.Duration
	// SuspectAfter is how long an entry may be silent before its partitions are
	// taken over.
	SuspicionTimeout time.Duration
	// PingEntriesEvery is the period at which entries tell each other that they live.
	EntryHeartbeatInterval time.Duration
	// SteadyAfter is how long an entry must be connected before it is handed partitions.
	MinConnectionAge time.Duration
	// HandoverBytes is about how much the records of one handover take, unless one
	// partition has more; HandoverPieceBytes is that of one message of it.
	HandoverBytes, HandoverPieceBytes int
	// AnswerSlack is how long after a deadline the owner's answer is awaited.
	AnswerGracePeriod time.Duration
	// Regions are all regions, in an order that never changes; empty means that
	// there is only the region of the entry.
	Regions []string
}

// Rules has the checks that at-most-once rests on.
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
