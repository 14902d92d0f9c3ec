// Package surveyor measures how the cost of each part of the system grows with the
// size of the deployment, and computes the capacity that a given size needs.
//
// A [Slope] is a line fitted to measurements of one cost at several sizes, such as the
// bytes that a record takes or the messages that an agent adds. A [Size] describes a
// deployment. Each figure of a role is computed from slopes and the numbers of the
// size. Slopes are measured on real connections and real state; none is derived from
// the source code.
package surveyor

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Sample is one measurement of a cost.
type Sample struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost measured at several sizes.
type Slope struct {
	// Name is the key by which [Capacity] finds the slope, in kebab case.
	Name string `json:"name"`
	// Unit is the unit of the values. Per is what the sizes count.
	Unit    string   `json:"unit"`
	Per     string   `json:"per"`
	Samples []Sample `json:"samples"`
	Fit     Fit      `json:"fit"`
}

// NewSlope returns a slope with a line fitted to the samples.
func NewSlope(name, unit, per string, samples []Sample) Slope {
	return Slope{Name: name, Unit: unit, Per: per, Samples: samples, Fit: fitLine(samples)}
}

// ReadSlopes decodes a sequence of slopes in JSON. A later slope replaces an earlier
// one of the same name.
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
