package configurer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/storer"
)

// The keys of the rows that hold the accepted versions.
const (
	// CurrentKey is the key of the row that holds the head of the current version.
	CurrentKey = "config/current"
	// HistoryPrefix begins the keys of the rows that hold the heads of versions.
	HistoryPrefix = "config/history/"
	// DocumentPrefix begins the keys of the rows that hold whole versions, and of
	// the objects that hold the older ones.
	DocumentPrefix = "config/documents/"
)

// Head identifies an accepted version. It is small, because every entry reads it often.
type Head struct {
	// Number increases by one with every accepted version; the first is 1.
	Number uint64 `json:"number"`
	// ChangeID identifies the change, so that a repeated request is recognised.
	ChangeID string `json:"change-id"`
	// Operator made the change at the time At, by the operator's clock.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at,omitzero"`
	Comment  string    `json:"comment,omitempty"`
	// RollbackTo is the version whose content this one restores, or 0.
	RollbackTo uint64 `json:"rollback-to,omitempty"`
}

// Version is an accepted version of the configuration as stored.
type Version struct {
	Head
	// Base is the text of the base file.
	Base string `json:"base"`
	// Overlays are the sites' overlays, sorted by site.
	Overlays []Overlay `json:"overlays,omitempty"`
}

// Overlay is one site's overlay.
type Overlay struct {
	Site string `json:"site"`
	Text string `json:"text"`
}

// HistoryKey returns the key of the row that holds the head of a version.
func HistoryKey(number uint64) string { return HistoryPrefix + padded(number) }

// DocumentKey returns the key of the row or object that holds a version.
func DocumentKey(number uint64) string { return DocumentPrefix + padded(number) }

// padded formats a number with leading zeros, so that keys sort by number.
func padded(number uint64) string { return fmt.Sprintf("%020d", number) }

// DecodeVersion decodes a stored version.
func DecodeVersion(text []byte) (*Version, error) {
	v := new(Version)
	if err := json.Unmarshal(text, v); err != nil {
		return nil, &Error{Op: "decode-version", Kind: KindStored, Err: err}
	}
	if v.Number == 0 {
		return nil, &Error{Op: "decode-version", Kind: KindStored, Err: errors.New("the version has no number")}
	}
	return v, nil
}

// DecodeHead decodes a stored head.
func DecodeHead(text []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(text, &h); err != nil {
		return h, &Error{Op: "decode-head", Kind: KindStored, Err: err}
	}
	if h.Number == 0 {
		return h, &Error{Op: "decode-head", Kind: KindStored, Err: errors.New("the head has no number")}
	}
	return h, nil
}

// Puts returns the rows of a version. They must be written in one transaction.
func (v *Version) Puts() ([]storer.Put, error) {
	head, err := json.Marshal(v.Head)
	if err != nil {
		return nil, &Error{Op: "encode-version", Kind: KindStored, Err: err}
	}
	document, err := json.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "encode-version", Kind: KindStored, Err: err}
	}
	return []storer.Put{
		{Key: CurrentKey, Value: head},
		{Key: HistoryKey(v.Number), Value: head},
		{Key: DocumentKey(v.Number), Value: document},
	}, nil
}

// Compose returns the effective configuration of a site. For a site without an overlay it
// is the base.
func (v *Version) Compose(site string) (*Effective, error) {
	base, overlays := v.Files()
	i := slices.IndexFunc(v.Overlays, func(o Overlay) bool { return o.Site == site })
	if i < 0 {
		return Compose(base, nil)
	}
	return Compose(base, &overlays[i])
}

// Composed is a version with the configuration of every site.
type Composed struct {
	Version *Version
	base    *Effective
	sites   []*Effective // sites holds the sites with an overlay, in the order of Version.Overlays.
}

// ComposeAll composes the configuration of every site. It takes milliseconds for a large
// version and must not be called on the control thread.
func (v *Version) ComposeAll() (*Composed, error) {
	c := &Composed{Version: v}
	var err error
	if c.base, err = v.Compose(""); err != nil {
		return nil, err
	}
	for _, o := range v.Overlays {
		e, err := v.Compose(o.Site)
		if err != nil {
			return nil, err
		}
		c.sites = append(c.sites, e)
	}
	return c, nil
}

// Site returns the configuration of a site, which must not be modified.
func (c *Composed) Site(name string) *Config {
	for i, o := range c.Version.Overlays {
		if o.Site == name {
			return &c.sites[i].Config
		}
	}
	return &c.base.Config
}

// Files returns the version's files with the names that errors use for them.
func (v *Version) Files() (base File, overlays []File) {
	for _, o := range v.Overlays {
		overlays = append(overlays, File{Name: "overlay " + o.Site, Text: []byte(o.Text)})
	}
	return File{Name: "base", Text: []byte(v.Base)}, overlays
}

// NewVersion checks a base with all overlays and returns them as a version without a
// head. The version holds the texts unchanged, with comments and formatting.
func NewVersion(base File, overlays []File) (*Version, error) {
	sites, err := CheckAll(base, overlays)
	if err != nil {
		return nil, err
	}
	v := &Version{Base: string(base.Text)}
	for i, o := range overlays {
		v.Overlays = append(v.Overlays, Overlay{Site: sites[i], Text: string(o.Text)})
	}
	slices.SortFunc(v.Overlays, func(a, b Overlay) int { return cmp.Compare(a.Site, b.Site) })
	return v, nil
}
