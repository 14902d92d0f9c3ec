package versioner

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
)

// retryDelay is the delay between two attempts of a change.
const retryDelay = 250 * time.Millisecond

// Change is a request for a new version.
type Change struct {
	// ID identifies the change. A change that is requested repeatedly with the same ID and
	// ExpectVersion is accepted at most once.
	ID string
	// ExpectVersion is the version that the operator expects to be current; 0 if there is
	// none yet.
	ExpectVersion uint64
	Operator      string
	Comment       string
	// RollbackTo is the version whose content the change restores, or 0.
	RollbackTo uint64
	// Content holds the texts of the new version; its head is ignored.
	Content configurer.Version
	// Puts are further rows, written in the transaction that creates the version.
	Puts []storer.Put
	// Repeated is set if the same change may have been requested before, by an earlier run
	// of the command.
	Repeated bool
}

// Verdict is the outcome of a change.
type Verdict string

// The verdicts. Accepted and refused are reported only if they are certain.
const (
	VerdictAccepted Verdict = "accepted" // The change has become a version.
	VerdictRefused  Verdict = "refused"  // The change has not become a version and will not become one.
	VerdictUnknown  Verdict = "unknown"  // The change may have become a version, or may still become one.
)

// Reason is the reason why a change was not accepted.
type Reason string

// The reasons.
const (
	ReasonConflict    Reason = "conflict"    // The current version is not the expected one.
	ReasonUnavailable Reason = "unavailable" // The platform did not answer in time.
)

// Result is the outcome of a change.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason,omitempty"`
	// Version is the number of the accepted version.
	Version  uint64 `json:"version,omitempty"`
	ChangeID string `json:"change-id"`
	Expected uint64 `json:"expected-version"`
	// Current is the current version at the time of a conflict.
	Current uint64 `json:"current-version,omitempty"`
	// Detail is an explanation for the operator.
	Detail string `json:"detail,omitempty"`
}

// NewChangeID returns an id for a change of the configuration or of anything else. Later
// ids sort after earlier ones.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// attempt is the state of a change that is being applied.
type attempt struct {
	change Change
	// mayHaveWritten is set once a write may have reached the platform.
	mayHaveWritten bool
	// transaction is built once, so that every retry sends the same one.
	transaction *storer.Transaction
}

// Apply requests a change and retries until the outcome is known or the context ends. It
// returns an error only if the request itself is invalid.
func (r *Versioner) Apply(ctx context.Context, c Change) (Result, error) {
	if c.ID == "" {
		return Result{}, &Error{Op: "apply", Kind: KindInvalid, Err: errors.New("the change has no id")}
	}
	a := &attempt{change: c, mayHaveWritten: c.Repeated}
	var last error
	for {
		result, done, err := r.tryOnce(ctx, a)
		if done {
			return result, err
		}
		last = err
		if ctx.Err() == nil {
			r.Sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return a.timedOut(last), nil
		}
	}
}

// tryOnce makes one attempt and reports whether the outcome is known. If it is not, the
// error is the reason.
func (r *Versioner) tryOnce(ctx context.Context, a *attempt) (Result, bool, error) {
	head, revision, err := r.current(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if head.Number != a.change.ExpectVersion {
		return r.resolve(ctx, a, head)
	}
	if err := r.buildTransaction(ctx, a, revision); err != nil {
		return Result{}, true, err
	}
	a.mayHaveWritten = true
	outcome, err := r.Write(ctx, *a.transaction)
	if err != nil {
		return Result{}, false, err
	}
	if outcome.Applied {
		return a.accepted(), true, nil
	}
	return Result{}, false, errors.New("the current row changed during the write")
}

// resolve determines the outcome of a change whose expected version is not current. If
// the version after the expected one carries the change's id, an earlier attempt was
// accepted.
func (r *Versioner) resolve(ctx context.Context, a *attempt, current configurer.Head) (Result, bool, error) {
	if current.Number < a.change.ExpectVersion {
		return a.conflict(current), true, nil
	}
	successor, err := r.Version(ctx, a.change.ExpectVersion+1)
	if err != nil {
		return Result{}, false, err
	}
	if successor.ChangeID != a.change.ID {
		return a.conflict(current), true, nil
	}
	if digest(successor) != digest(&a.change.Content) {
		return Result{}, true, &Error{
			Op:     "apply",
			Kind:   KindInvalid,
			Number: successor.Number,
			Err:    errors.Errorf("the change id %s is that of another change", a.change.ID),
		}
	}
	return a.accepted(), true, nil
}

// buildTransaction builds the transaction of the change, unless an earlier attempt did.
func (r *Versioner) buildTransaction(ctx context.Context, a *attempt, revision uint64) error {
	if a.transaction != nil {
		return nil
	}
	v := a.change.Content
	v.Head = configurer.Head{
		Number:     a.change.ExpectVersion + 1,
		ChangeID:   a.change.ID,
		Operator:   a.change.Operator,
		At:         r.Now().UTC().Truncate(time.Second),
		Comment:    a.change.Comment,
		RollbackTo: a.change.RollbackTo,
	}
	puts, err := v.Puts()
	if err != nil {
		return err
	}
	a.transaction = &storer.Transaction{
		RequestID: fmt.Sprintf("config/%s/%d/%s", a.change.ID, a.change.ExpectVersion, digest(&v)),
		Conditions: []storer.Condition{{
			Key:      configurer.CurrentKey,
			Revision: revision,
		}},
		Puts:    append(puts, a.change.Puts...),
		Deletes: r.archive(ctx, v.Number),
	}
	return nil
}

// archive stores as objects the versions that exceed [KeptVersions] once the version with
// the given number is accepted, and returns their rows, which are to be deleted. A
// version that cannot be stored as an object stays in the table.
func (r *Versioner) archive(ctx context.Context, number uint64) []string {
	heads, err := r.tableHistory(ctx)
	if err != nil {
		return nil
	}
	var deletes []string
	for _, h := range heads {
		if h.Number+KeptVersions > number {
			continue
		}
		row, ok, err := r.row(ctx, configurer.DocumentKey(h.Number))
		if err != nil || !ok {
			continue
		}
		if r.PutObject(ctx, row.Key, row.Value) == nil {
			deletes = append(deletes, configurer.HistoryKey(h.Number), row.Key)
		}
	}
	return deletes
}

// digest returns a hash of the content of a version, without its head.
func digest(v *configurer.Version) string {
	d := xxhash.New()
	enc := json.NewEncoder(d)
	// Encoding strings and writing to a hash cannot fail.
	_ = enc.Encode(v.Base)
	_ = enc.Encode(v.Overlays)
	return strconv.FormatUint(d.Sum64(), 16)
}

func (a *attempt) result(v Verdict) Result {
	return Result{Verdict: v, ChangeID: a.change.ID, Expected: a.change.ExpectVersion}
}

func (a *attempt) accepted() Result {
	out := a.result(VerdictAccepted)
	out.Version = a.change.ExpectVersion + 1
	return out
}

func (a *attempt) conflict(current configurer.Head) Result {
	out := a.result(VerdictRefused)
	out.Reason = ReasonConflict
	out.Current = current.Number
	out.Detail = fmt.Sprintf("version %d is current, not %d", current.Number, a.change.ExpectVersion)
	return out
}

// timedOut returns the result of a change whose context has ended. The change is refused
// if no write was sent, and its outcome is unknown otherwise.
func (a *attempt) timedOut(cause error) Result {
	out := a.result(VerdictUnknown)
	out.Reason = ReasonUnavailable
	out.Detail = "the platform did not say what became of the change"
	if !a.mayHaveWritten {
		out.Verdict = VerdictRefused
		out.Detail = "the platform did not answer; nothing was written"
	}
	if cause != nil {
		out.Detail += ": " + cause.Error()
	}
	return out
}
