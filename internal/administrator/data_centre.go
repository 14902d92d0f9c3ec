package administrator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// maxDataCentreBytes bounds the name of a data centre in a request. The name becomes
// part of the key of a table row.
const maxDataCentreBytes = 128

// DataCentre is the state of a data centre as seen by one entry, or merged over all
// entries.
type DataCentre struct {
	Name string `json:"data-centre"`
	// Hold is the operator's hold on the data centre; empty if there is none. By and At
	// are who set it and when.
	Hold placer.Hold `json:"hold,omitempty"`
	By   string      `json:"by,omitempty"`
	At   time.Time   `json:"at,omitzero"`
	// HeldBy counts the entries at which the hold is in force, and SeenBy those that
	// answered.
	HeldBy int `json:"held-by,omitempty"`
	SeenBy int `json:"seen-by"`
	// Entries counts the entries in the data centre.
	Entries int `json:"entries"`
	// Upstreams is the number of upstreams there to which an entry is connected; merged,
	// it is the highest such number.
	Upstreams int `json:"upstreams"`
	// Outstanding counts the tasks at these upstreams, summed over the entries.
	Outstanding int `json:"outstanding"`
}

func (s *Service) dataCentres(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[[]DataCentre](r.Context(), s, CallDataCentres, nil)
	return Listing[DataCentre]{Items: mergeDataCentres(parts), Silent: silent}, nil
}

// mergeDataCentres merges the views that the entries have of each data centre.
func mergeDataCentres(parts []entryPart[[]DataCentre]) []DataCentre {
	merged := make(map[string]*DataCentre)
	for _, p := range parts {
		for _, d := range p.part {
			into := merged[d.Name]
			if into == nil {
				into = &DataCentre{Name: d.Name, SeenBy: len(parts)}
				merged[d.Name] = into
			}
			into.add(&d)
		}
	}
	out := []DataCentre{}
	for _, d := range merged {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// add adds the view of one entry. If entries have read different holds, the latest one
// is taken.
func (d *DataCentre) add(o *DataCentre) {
	if o.Hold != "" {
		d.HeldBy++
		if d.Hold == "" || o.At.After(d.At) {
			d.Hold, d.By, d.At = o.Hold, o.By, o.At
		}
	}
	d.Entries += o.Entries
	d.Upstreams = max(d.Upstreams, o.Upstreams)
	d.Outstanding += o.Outstanding
}

// changeDataCentre evacuates a data centre or returns it to service.
func (s *Service) changeDataCentre(r *http.Request, principal authenticator.Principal) (any, *submitter.Problem) {
	name := r.PathValue("name")
	action := Action(r.PathValue("action") + "-data-centre")
	var hold placer.Hold
	switch action {
	case ActionEvacuateDataCentre:
		hold = placer.HoldEvacuated
	case ActionReturnDataCentre:
	default:
		return nil, noSuchAction()
	}
	allowUnknown, problem := checkDataCentreRequest(name, r.URL.Query().Get("allow-unknown"))
	if problem != nil {
		return nil, problem
	}
	return s.change(r, principal, action, name, func(ctx context.Context, record *Record) ([]Silent, *submitter.Problem) {
		if !allowUnknown {
			if problem := s.findDataCentre(ctx, name); problem != nil {
				return nil, problem
			}
		}
		if problem := s.writeHold(ctx, dataCentreHolds+name, hold, record); problem != nil {
			return nil, problem
		}
		return s.notifyHolds(ctx), nil
	})
}

// checkDataCentreRequest checks the parameters of a request for a data centre and
// returns whether the data centre may be unknown.
func checkDataCentreRequest(name, allowUnknown string) (bool, *submitter.Problem) {
	detail := ""
	switch {
	case strings.TrimSpace(name) == "":
		detail = "it must not be empty"
	case len(name) > maxDataCentreBytes:
		detail = "it has " + strconv.Itoa(len(name)) + " bytes; the limit is " + strconv.Itoa(maxDataCentreBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		detail = "it must be UTF-8 text without control characters"
	}
	if detail != "" {
		return false, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the name of the data centre is not valid",
			Detail: detail,
			Field:  "data-centre",
		}
	}
	if allowUnknown == "" {
		return false, nil
	}
	allow, err := strconv.ParseBool(allowUnknown)
	if err != nil {
		return false, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the query is not valid",
			Detail: "it must be true or false, not " + strconv.Quote(allowUnknown),
			Field:  "allow-unknown",
		}
	}
	return allow, nil
}

// findDataCentre checks that a connected process names the data centre, or that it is
// evacuated. The latter lets an operator return a data centre that is down.
func (s *Service) findDataCentre(ctx context.Context, name string) *submitter.Problem {
	parts, _ := gather[[]DataCentre](ctx, s, CallDataCentres, nil)
	if slices.ContainsFunc(mergeDataCentres(parts), func(d DataCentre) bool { return d.Name == name }) {
		return nil
	}
	return &submitter.Problem{
		Status: http.StatusNotFound,
		Title:  "no such data centre",
		Detail: "no connected process names it; for a data centre that is down, set allow-unknown",
		Field:  "data-centre",
	}
}
