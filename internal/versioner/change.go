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

const retryPause = 250 * time.Millisecond

// Change asks for a new version.
type Change struct {
	// ID names the change. A change that is asked for again under the same id and
	// Expect is accepted at most once.
	ID string
	// Expect is the version that the operator has seen; 0 if there is none yet.
	ExpectVersion uint64
	Operator      string
	Comment       string
	// RollbackTo is the version whose content this one has again, or 0.
	RollbackTo uint64
	// Content has the texts of the new version; its head is ignored.
	Content configurer.Version
	// Puts are written in the transaction that makes the version.
	Puts []storer.Put
	// Repeated is set if an earlier run may have asked for the same change.
	Repeated bool
}

// Verdict says what became of a change.
type Verdict string

// The verdicts. Accepted and refused are said with proof only.
const (
	VerdictAccepted Verdict = "accepted" // The change is a version.
	VerdictRefused  Verdict = "refused"  // The change is no version and will not become one.
	VerdictUnknown  Verdict = "unknown"  // The change may be a version or become one.
)

// Reason says why a change was not accepted.
type Reason string

// The reasons.
const (
	ReasonConflict    Reason = "conflict"    // Another version is current than the operator has seen.
	ReasonUnavailable Reason = "unavailable" // The platform did not answer in time.
)

// Result is what became of a change.
type Result struct {
	Verdict Verdict `json:"verdict"`
	Reason  Reason  `json:"reason,omitempty"`
	// Version is the number of the accepted version.
	Version  uint64 `json:"version,omitempty"`
	ChangeID string `json:"change-id"`
	Expected uint64 `json:"expected-version"`
	// Current is the current version at the time of a conflict.
	Current uint64 `json:"current-version,omitempty"`
	// Detail is for the operator.
	Detail string `json:"detail,omitempty"`
}

// NewChangeID returns an id for a change, of the configuration or any other. Later
// ones sort after earlier ones.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// attempt is one change under way.
type attempt struct {
	change Change
	// wrote is set once a write may have reached the platform.
	wrote bool
	// transaction is made once, so that each try of it is the same.
	transaction *storer.Transaction
}

// Apply makes a change, and asks again until it knows what became of it or the
// context ends. The error is not nil only if the change cannot be asked for.
func (r *Versioner) Apply(ctx context.Context, c Change) (Result, error) {
	if c.ID == "" {
		return Result{}, &Error{Op: "apply", Kind: KindInvalid, Err: errors.New("the change has no id")}
	}
	a := &attempt{change: c, wrote: c.Repeated}
	var last error
	for {
		result, done, err := r.try(ctx, a)
		if done {
			return result, err
		}
		last = err
		if ctx.Err() == nil {
			r.Pause(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return a.undecided(last), nil
		}
	}
}

// try makes one try and reports whether the outcome is known. The error of a try
// that leaves it open is why.
func (r *Versioner) try(ctx context.Context, a *attempt) (Result, bool, error) {
	head, revision, err := r.current(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if head.Number != a.change.ExpectVersion {
		return r.resolve(ctx, a, head)
	}
	if err := r.prepare(ctx, a, revision); err != nil {
		return Result{}, true, err
	}
	a.wrote = true
	outcome, err := r.Write(ctx, *a.transaction)
	if err != nil {
		return Result{}, false, err
	}
	if outcome.Applied {
		return a.accepted(), true, nil
	}
	return Result{}, false, errors.New("the current row changed during the write")
}

// resolve decides a change that expects another version than the current one.
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

// prepare makes the transaction of the change.
func (r *Versioner) prepare(ctx context.Context, a *attempt, revision uint64) error {
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

// archive stores the versions that leave the table with the new one as objects
// and returns the rows to delete. What cannot be stored stays in the table.
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

// digest identifies the content of a version, without its head.
func digest(v *configurer.Version) string {
	d := xxhash.New()
	enc := json.NewEncoder(d)
	// Neither strings nor a hash can fail to be written.
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

// undecided returns the result of a change whose time is over. Without a write
// nothing can have come of it.
func (a *attempt) undecided(cause error) Result {
	out := a.result(VerdictUnknown)
	out.Reason = ReasonUnavailable
	out.Detail = "the platform did not say what became of the change"
	if !a.wrote {
		out.Verdict = VerdictRefused
		out.Detail = "the platform did not answer; nothing was written"
	}
	if cause != nil {
		out.Detail += ": " + cause.Error()
	}
	return out
}
