// Package surveyor measures what each part of the system costs as its
// surroundings grow, and works out from that what a given size needs.
//
// A [Slope] is a line through measurements of one cost at several sizes: how many
// bytes a record takes, how many messages an agent adds. A [Size] describes a
// deployment. The capacity of a role is a sum of slopes, each times a number of
// the size. Slopes come from real connections and real state; nothing is derived
// from the source.
package surveyor

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Sample is one measurement.
type Sample struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost that was measured at several sizes.
type Slope struct {
	// Name is the key under which capacities find the slope; it is in kebab case.
	Name string `json:"name"`
	// Unit is the unit of the values, Per what the sizes count.
	Unit    string   `json:"unit"`
	Per     string   `json:"per"`
	Samples []Sample `json:"samples"`
	Fit     Fit      `json:"fit"`
}

// NewSlope fits a line to samples.
func NewSlope(name, unit, per string, samples []Sample) Slope {
	return Slope{Name: name, Unit: unit, Per: per, Samples: samples, Fit: fitLine(samples)}
}

// ReadSlopes reads slopes that were written as JSON, one after the other. A later
// slope replaces an earlier one of the same name.
func ReadSlopes(r io.Reader) ([]Slope, error) {
	var out []Slope
	dec := json.NewDecoder(r)
	for {
		var s Slope
		err := dec.Decode(&s)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, errors.Trace(&Error{Op: "read-slopes", Kind: KindFormat, Err: err})
		}
		out = replaceSlope(out, s)
	}
}

func replaceSlope(slopes []Slope, s Slope) []Slope {
	for i := range slopes {
		if slopes[i].Name == s.Name {
			slopes[i] = s
			return slopes
		}
	}
	return append(slopes, s)
}
