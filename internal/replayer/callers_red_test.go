//go:build red

package replayer

import "testing"

// maxSpread bounds the difference between the best and the worst data centre of callers, as earned
// shares of the worth.
const maxSpread = 0.03

// TestDataCentresShareCapacity checks that callers are served alike in an overload, whatever the
// number of entries in their data centre. Without it, entries keep their part of the capacity.
func TestDataCentresShareCapacity(t *testing.T) {
	const name = "steady-overload-short"
	r := Play(loadPattern(t, "testdata/callers/"+name+".yaml"), 1)
	if d := spread(r.Groups.ByDataCentre); d > maxSpread {
		t.Errorf("%s: the best and the worst data centre differ by %.3f, more than %.2f", name, d, maxSpread)
	}
}
