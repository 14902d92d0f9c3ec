package configurer

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validBase = `services:
  - name: quote
    path: /quote
    timeout: 3s
    default-run-time: 100ms
    objective: {latency: 2s, latency-ratio: 0.99, success-ratio: 0.999}
teams:
  - name: order-desk
    slots: 60
    token-hashes:
      - 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
operators:
  - {name: ana, role: operator}
limits: {max-body-bytes: 1000, body-timeout: 5s}
queue: {max-tasks: 10}
ejection: {failure-ratio: 0.3, failure-streak: 5}
`

const validOverlay = `site: ub-1
services:
  - name: quote
    default-run-time: 80ms
queue: {max-tasks: 20}
`

// FuzzCompose composes arbitrary files as base and overlay. It checks that every fault of
// a rejected file has a position, and that an overlay changes only values that the
// tables allow it to set.
func FuzzCompose(f *testing.F) {
	f.Add(validBase, validOverlay)
	f.Fuzz(func(t *testing.T, base, overlay string) {
		file := File{Name: "base", Text: []byte(base)}
		plain, err := Compose(file, nil)
		checkFaults(t, err)
		if err != nil {
			return
		}
		tuned, err := Compose(file, &File{Name: "overlay", Text: []byte(overlay)})
		checkFaults(t, err)
		if err != nil {
			return
		}
		if !validName(tuned.Site) {
			t.Errorf("the site is %q", tuned.Site)
		}
		if diff := cmp.Diff(fixedValues(plain), fixedValues(tuned)); diff != "" {
			t.Errorf("the overlay changed what it may not (-base +overlay):\n%s", diff)
		}
		checkConfig(t, &tuned.Config)
	})
}

func checkFaults(t *testing.T, err error) {
	t.Helper()
	if err == nil {
		return
	}
	faults := faultsOf(err)
	if len(faults) == 0 {
		t.Errorf("got an error without faults: %v", err)
	}
	for _, fault := range faults {
		if fault.Line < 1 || fault.Column < 1 || fault.Message == "" {
			t.Errorf("got a fault without position or message: %+v", fault)
		}
	}
}

// fixedValues returns the values that an overlay may not set.
func fixedValues(e *Effective) []Value {
	tunableKeys := make(map[string]bool)
	for _, k := range Keys() {
		tunableKeys[k.Path] = k.Overlay
	}
	return slices.DeleteFunc(e.Values(), func(v Value) bool { return tunableKeys[keyOf(v.Path)] })
}

// keyOf returns the key for the path of a value, with NAME for the name of an element.
func keyOf(path string) string {
	parts := strings.Split(path, ".")
	switch parts[0] {
	case "services", "teams", "operators":
		parts[1] = "NAME"
	}
	return strings.Join(parts, ".")
}

// checkConfig checks the documented invariants of a configuration.
func checkConfig(t *testing.T, c *Config) {
	t.Helper()
	for i, s := range c.Services {
		if i > 0 && c.Services[i-1].Name >= s.Name {
			t.Errorf("services are not sorted and unique at %q", s.Name)
		}
		if s.Timeout <= 0 || s.Objective.Latency <= 0 || !strings.HasPrefix(s.Path, "/") {
			t.Errorf("service %+v", s)
		}
		if o := s.Objective; o.LatencyRatio < 0 || o.LatencyRatio > 1 || o.SuccessRatio < 0 || o.SuccessRatio > 1 {
			t.Errorf("objective %+v", o)
		}
	}
	for _, team := range c.Teams {
		if team.Slots < 0 || !(team.StartsPerSecond >= 0) {
			t.Errorf("team %+v", team)
		}
	}
	if c.Limits.MaxBodyBytes < 1 || c.Queue.MaxTasks < 1 || c.Ejection.FailureStreak < 1 || c.Ejection.ProbeAfter > c.Ejection.MaxProbeAfter || c.Limits.WaitingPerAgent < 1 {
		t.Errorf("limits %+v %+v %+v", c.Limits, c.Queue, c.Ejection)
	}
}

// FuzzDecodeVersion decodes arbitrary texts as stored versions.
func FuzzDecodeVersion(f *testing.F) {
	f.Add([]byte(`{"number":3,"change-id":"c","base":"services: []\n","overlays":[{"site":"ub-1","text":"site: ub-1\n"}]}`))
	f.Add([]byte(`{"number":0}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		v, err := DecodeVersion(text)
		if err != nil {
			return
		}
		if v.Number == 0 {
			t.Error("decoded a version without a number")
		}
		_, err = v.ComposeAll()
		checkFaults(t, err)
	})
}
