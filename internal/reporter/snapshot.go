package reporter

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxSnapshotBytes bounds the size of a decompressed snapshot.
const maxSnapshotBytes = 64 << 20

// Snapshot is the content of one recorder, or the sum of several.
type Snapshot struct {
	// Instance is the instance name of the entry, which the entry's successor takes
	// over.
	Instance string `json:"instance"`
	// Peer is the peer name of the entry, which differs for each run.
	Peer  string    `json:"peer"`
	Taken time.Time `json:"taken"`
	// Incomplete describes the counts that are missing; empty if there are none.
	Incomplete string `json:"incomplete,omitempty"`
	// Services are sorted by name.
	Services []ServiceCounts `json:"services"`
}

// ServiceCounts has the buckets of one service.
type ServiceCounts struct {
	Service string `json:"service"`
	// Tiers has the buckets of each width, in the order of the package's tiers.
	Tiers [][]Bucket `json:"tiers"`
}

// Encode returns the snapshot as compressed JSON.
func (s *Snapshot) Encode() ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return buf.Bytes(), nil
}

// Decode decodes a snapshot that [Snapshot.Encode] has encoded. It returns an error of
// kind [KindDecode] if the text is not such a snapshot.
func Decode(text []byte) (*Snapshot, error) {
	r, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	s := new(Snapshot)
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(s); err != nil {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return s, nil
}

// Sum returns the sum of snapshots. Its time is that of the latest one.
func Sum(snapshots []*Snapshot) *Snapshot {
	r := New()
	var taken time.Time
	for _, s := range snapshots {
		if s.Taken.After(taken) {
			taken = s.Taken
		}
	}
	for _, s := range snapshots {
		r.Load(taken, s)
	}
	return r.Snapshot(taken)
}

// window returns the sum of the buckets that overlap the window before now.
func (c *ServiceCounts) window(now time.Time, length time.Duration) Bucket {
	var sum Bucket
	for i, t := range tiers {
		if length > t.retention || i >= len(c.Tiers) {
			continue
		}
		from := now.Add(-length)
		for j := range c.Tiers[i] {
			b := &c.Tiers[i][j]
			if time.Unix(b.Start, 0).Add(t.width).After(from) {
				sum.merge(b)
			}
		}
		break
	}
	return sum
}

// mergeBuckets merges two lists of buckets in order of their start and adds buckets
// that have the same start.
func mergeBuckets(a, b []Bucket) []Bucket {
	out := make([]Bucket, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || (len(a) > 0 && a[0].Start < b[0].Start):
			out = append(out, a[0])
			a = a[1:]
		case len(a) == 0 || b[0].Start < a[0].Start:
			out = append(out, b[0])
			out[len(out)-1].Bad = slices.Clone(b[0].Bad)
			b = b[1:]
		default:
			out = append(out, a[0])
			out[len(out)-1].merge(&b[0])
			a, b = a[1:], b[1:]
		}
	}
	return out
}

func cloneBuckets(list []Bucket) []Bucket {
	out := slices.Clone(list)
	for i := range out {
		out[i].Bad = slices.Clone(out[i].Bad)
	}
	return out
}

func sortServices(list []ServiceCounts) {
	slices.SortFunc(list, func(a, b ServiceCounts) int { return cmp.Compare(a.Service, b.Service) })
}
