package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// HoldPrefix is the prefix of the table rows of holds. A hold keeps new work from an
// upstream, an entry or a data centre for as long as its row exists.
const HoldPrefix = "holds/"

const (
	upstreamHolds   = HoldPrefix + "upstreams/"
	entryHolds      = HoldPrefix + "entries/"
	dataCentreHolds = HoldPrefix + "data-centres/"
)

// holdRow is the value of the row of a hold.
type holdRow struct {
	Hold     placer.Hold `json:"hold"`
	By       string      `json:"by"`
	At       time.Time   `json:"at"`
	ChangeID string      `json:"change-id"`
}

// holdRetention is the minimum age at which a hold is deleted if its upstream or
// entry is no longer known. A peer name belongs to one run of a process, so a name
// that has been absent for that long does not return.
const holdRetention = 24 * time.Hour

// Holds are all holds in force.
type Holds struct {
	Upstreams   map[messenger.Peer]placer.Hold
	Entries     map[messenger.Peer]bool
	DataCentres map[string]DataCentreHold
}

// DataCentreHold is the hold of a data centre.
type DataCentreHold struct {
	Hold placer.Hold
	By   string // By is the operator who set the hold.
	At   time.Time
}

// Placement returns the holds that concern the placer.
func (h *Holds) Placement() placer.Holds {
	out := placer.Holds{Upstreams: h.Upstreams, DataCentres: make(map[string]placer.Hold, len(h.DataCentres))}
	for name, d := range h.DataCentres {
		out.DataCentres[name] = d.Hold
	}
	return out
}

// ReadHolds decodes the rows below [HoldPrefix]. It skips rows that it cannot decode.
func ReadHolds(rows storer.Range) Holds {
	h := Holds{
		Upstreams:   make(map[messenger.Peer]placer.Hold),
		Entries:     make(map[messenger.Peer]bool),
		DataCentres: make(map[string]DataCentreHold),
	}
	for _, row := range rows.Rows {
		var v holdRow
		if json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		if peer, ok := strings.CutPrefix(row.Key, upstreamHolds); ok {
			h.Upstreams[messenger.Peer(peer)] = v.Hold
		}
		if peer, ok := strings.CutPrefix(row.Key, entryHolds); ok {
			h.Entries[messenger.Peer(peer)] = true
		}
		if name, ok := strings.CutPrefix(row.Key, dataCentreHolds); ok {
			h.DataCentres[name] = DataCentreHold{Hold: v.Hold, By: v.By, At: v.At}
		}
	}
	return h
}

// released returns the hold that an action removes; empty if the action sets a hold.
func released(a Action) placer.Hold {
	switch a {
	case ActionUndrainUpstream, ActionUndrainEntry:
		return placer.HoldDrained
	case ActionRestoreUpstream:
		return placer.HoldEjected
	case ActionReturnDataCentre:
		return placer.HoldEvacuated
	}
	return ""
}

// writeHold sets a hold, or removes the present one if hold is empty. The change id
// is the request id of the transaction, so that the table detects a repeated change.
// The record of the change is written in the same transaction.
func (s *Service) writeHold(ctx context.Context, key string, hold placer.Hold, record *Record) *submitter.Problem {
	rows, err := s.o.Read(ctx, key)
	if err != nil {
		return &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the platform cannot be reached",
			Detail: "nothing was changed",
		}
	}
	current, revision := findHold(rows, key)
	t := storer.Transaction{
		RequestID:  record.ChangeID,
		Conditions: []storer.Condition{{Key: key, Revision: revision}},
	}
	switch {
	case hold != "":
		record.Detail = "now " + string(hold)
		t.Puts = []storer.Put{{Key: key, Value: encode(holdRow{
			Hold:     hold,
			By:       record.By,
			At:       record.At,
			ChangeID: record.ChangeID,
		})}}
	case current == "":
		record.Detail = "was not held"
		return nil
	case current != released(record.Action):
		return &submitter.Problem{
			Status: http.StatusConflict,
			Title:  "it is held in another way",
			Detail: "it is " + string(current) + "; the operator who did so used another action",
		}
	default:
		record.Detail = "no longer " + string(current)
		t.Deletes = []string{key}
	}
	t.Puts = append(t.Puts, recordPut(record))
	return s.writeTransaction(ctx, t)
}

// recordPut returns the write of the row that holds a record until the record is in
// the object store.
func recordPut(record *Record) storer.Put {
	return storer.Put{Key: recordPrefix + record.ChangeID, Value: encode(record)}
}

// encode marshals a value of a type of this package. These types always marshal, so
// encode panics on an error.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (s *Service) writeTransaction(ctx context.Context, t storer.Transaction) *submitter.Problem {
	outcome, err := s.o.Write(ctx, t)
	if err != nil {
		return &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "whether the change was made is not known",
			Detail: "repeat it with the change id " + t.RequestID,
		}
	}
	if !outcome.Applied {
		return &submitter.Problem{
			Status: http.StatusConflict,
			Title:  "another change came between",
			Detail: "look at the present state and repeat the change with a new change id",
		}
	}
	return nil
}

// notifyHolds makes every entry read the holds now. It returns the entries that did
// not answer.
func (s *Service) notifyHolds(ctx context.Context) []Silent {
	_, silent := gather[json.RawMessage](ctx, s, CallHolds, nil)
	return silent
}

// deleteStaleHolds deletes the holds below a prefix that are older than
// [holdRetention] and whose upstream or entry is not in known. It does nothing if
// known is nil, since the caller then has no complete list. It ignores errors, since
// the next hold repeats the deletion.
func (s *Service) deleteStaleHolds(ctx context.Context, prefix string, known []messenger.Peer) {
	if known == nil {
		return
	}
	rows, err := s.o.Read(ctx, prefix)
	if err != nil {
		return
	}
	t := storer.Transaction{RequestID: storer.NewRequestID()}
	for _, row := range rows.Rows {
		var v holdRow
		peer := messenger.Peer(strings.TrimPrefix(row.Key, prefix))
		if json.Unmarshal(row.Value, &v) != nil || s.o.Now().Sub(v.At) < holdRetention || slices.Contains(known, peer) {
			continue
		}
		t.Conditions = append(t.Conditions, storer.Condition{Key: row.Key, Revision: row.Revision})
		t.Deletes = append(t.Deletes, row.Key)
	}
	if len(t.Deletes) > 0 {
		_, _ = s.o.Write(ctx, t)
	}
}

// findHold returns the hold and the revision of the row whose key is exactly the
// given one. The range may also have rows of longer keys.
func findHold(rows storer.Range, key string) (placer.Hold, uint64) {
	for _, row := range rows.Rows {
		if row.Key != key {
			continue
		}
		var v holdRow
		if json.Unmarshal(row.Value, &v) != nil {
			return "", row.Revision
		}
		return v.Hold, row.Revision
	}
	return "", 0
}
