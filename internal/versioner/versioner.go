// Package versioner stores the accepted versions of the operators' configuration in the
// platform's table and object store.
//
// The row [configurer.CurrentKey] holds the head of the current version. Each
// version has a history row with its head and a row with the whole document. The table
// holds the latest [KeptVersions]. Before a change deletes the rows of an older version,
// it stores the document as an object with the same key, so that no accepted version is
// ever lost.
//
// A change is one transaction. Its condition is that the current row still has the
// revision at which it was read with the expected version number. A change that expects
// version n can therefore only become version n+1. If the answer of a write is lost, the
// change id of version n+1 tells whether the change was accepted.
package versioner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
)

// KeptVersions is the number of versions that are kept in the table.
const KeptVersions = 64

// Versioner reads and writes versions.
type Versioner struct {
	// Read, Write, PutObject and Object call the platform; tests replace them.
	Read      func(ctx context.Context, prefix string) (storer.Range, error)
	Write     func(ctx context.Context, t storer.Transaction) (storer.Outcome, error)
	PutObject func(ctx context.Context, key string, body []byte) error
	Object    func(ctx context.Context, key string) ([]byte, error)
	// Now reads the clock, and Sleep waits between attempts; tests replace them.
	Now   func() time.Time
	Sleep func(ctx context.Context, d time.Duration)
}

// New returns a versioner that calls the platform through the client.
func New(c *storer.Client) *Versioner {
	return &Versioner{
		Read:      c.Read,
		Write:     c.Write,
		PutObject: c.PutObject,
		Object:    c.Object,
		Now:       time.Now,
		Sleep:     c.Sleep,
	}
}

// Current returns the head of the current version. The error is of kind
// [KindAbsent] if no version has been accepted yet.
func (r *Versioner) Current(ctx context.Context) (configurer.Head, error) {
	head, _, err := r.current(ctx)
	if err == nil && head.Number == 0 {
		err = &Error{Op: "current", Kind: KindAbsent, Err: errors.New("no version has been accepted yet")}
	}
	return head, err
}

// current returns the head of the current version and the revision of its row.
// Both are zero if there is none.
func (r *Versioner) current(ctx context.Context) (configurer.Head, uint64, error) {
	row, ok, err := r.row(ctx, configurer.CurrentKey)
	if err != nil || !ok {
		return configurer.Head{}, 0, err
	}
	head, err := configurer.DecodeHead(row.Value)
	return head, row.Revision, err
}

// Version returns an accepted version from the table or the object store.
func (r *Versioner) Version(ctx context.Context, number uint64) (*configurer.Version, error) {
	row, ok, err := r.row(ctx, configurer.DocumentKey(number))
	if err != nil {
		return nil, err
	}
	if ok {
		return configurer.DecodeVersion(row.Value)
	}
	text, err := r.Object(ctx, configurer.DocumentKey(number))
	if err != nil {
		return nil, readError("version", number, err)
	}
	return configurer.DecodeVersion(text)
}

// History returns the heads of the latest versions, the newest first.
func (r *Versioner) History(ctx context.Context, limit int) ([]configurer.Head, error) {
	heads, err := r.tableHistory(ctx)
	if err != nil {
		return nil, err
	}
	for len(heads) > 0 && len(heads) < limit && heads[len(heads)-1].Number > 1 {
		v, err := r.Version(ctx, heads[len(heads)-1].Number-1)
		if err != nil {
			return nil, err
		}
		heads = append(heads, v.Head)
	}
	return heads[:min(limit, len(heads))], nil
}

// tableHistory returns the heads that are in the table, the newest first.
func (r *Versioner) tableHistory(ctx context.Context) ([]configurer.Head, error) {
	rows, err := r.Read(ctx, configurer.HistoryPrefix)
	if err != nil {
		return nil, readError("history", 0, err)
	}
	var heads []configurer.Head
	for _, row := range rows.Rows {
		head, err := configurer.DecodeHead(row.Value)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	slices.SortFunc(heads, func(a, b configurer.Head) int { return cmp.Compare(b.Number, a.Number) })
	return heads, nil
}

// row returns the row with exactly this key.
func (r *Versioner) row(ctx context.Context, key string) (storer.Row, bool, error) {
	rows, err := r.Read(ctx, key)
	if err != nil {
		return storer.Row{}, false, readError("read", 0, err)
	}
	for _, row := range rows.Rows {
		if row.Key == key {
			return row, true, nil
		}
	}
	return storer.Row{}, false, nil
}

// readError converts an error of a read of the platform.
func readError(op string, number uint64, err error) error {
	kind := KindUnavailable
	if storer.KindOf(err) == storer.KindAbsent {
		kind = KindAbsent
	}
	return &Error{Op: op, Kind: kind, Number: number, Err: err}
}
