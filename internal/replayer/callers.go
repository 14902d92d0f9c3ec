package replayer

import (
	"fmt"
	"math"
	"time"
)

// Wave is a periodic change of the demand.
type Wave struct {
	Swing  float64       `yaml:"swing"` // Swing is the largest deviation of the demand, as a share of the mean.
	Period time.Duration `yaml:"period"`
	// Phases holds the phase of each data centre at the beginning, as a share of the period.
	Phases []float64 `yaml:"phases"`
}

// hotRack is the rack that has the data of the key of [FaultHotKey].
const hotRack = "rack-0"

// dataCentre returns the data centre of an agent. The agents are spread over three.
func dataCentre(agent int) string { return fmt.Sprintf("dc-%d", agent%3) }

// entryDataCentre returns the data centre of an entry.
func (w *world) entryDataCentre(entry int) string {
	if len(w.pattern.EntriesByDataCentre) == 0 {
		return dataCentre(entry)
	}
	for d, n := range w.pattern.EntriesByDataCentre {
		if entry < n {
			return dataCentre(d)
		}
		entry -= n
	}
	panic("an entry is in no data centre")
}

// callerDataCentre returns the data centre of a job's caller.
func (c *callerJob) callerDataCentre() string { return dataCentre(c.dataCentre) }

// reachableEntries returns the entries that the caller of a job reaches.
func (w *world) reachableEntries(c *callerJob) (entries []*entry) {
	if len(w.pattern.Callers) == 0 {
		return w.entries
	}
	for _, e := range w.entries {
		if w.entryDataCentre(e.index) == c.callerDataCentre() {
			entries = append(entries, e)
		}
	}
	return entries
}

// demandShares returns the current demand of the callers of each data centre. Without a wave it
// is Callers.
func (w *world) demandShares() []float64 {
	p := &w.pattern
	shares := make([]float64, len(p.Callers))
	for i, s := range p.Callers {
		shares[i] = s
		if p.Wave.Period > 0 {
			turns := float64(w.now)/float64(p.Wave.Period) + p.Wave.Phases[i]
			shares[i] *= 1 + p.Wave.Swing*math.Sin(2*math.Pi*turns)
		}
	}
	return shares
}

// waveFactor returns the current demand of all callers relative to the mean.
func (w *world) waveFactor() float64 {
	if w.pattern.Wave.Period == 0 {
		return 1
	}
	now, mean := 0.0, 0.0
	for i, s := range w.demandShares() {
		now += s
		mean += w.pattern.Callers[i]
	}
	return now / mean
}

// drawDataCentre draws the data centre of a caller.
func (w *world) drawDataCentre() int {
	if len(w.pattern.Callers) == 0 {
		return 0
	}
	return pick(w.demandShares(), w.arrivalRandom.Float64())
}

// timeout returns how long the caller of a job waits.
func (c *callerJob) timeout() time.Duration {
	return max(c.kind.CallerTimeout, time.Duration(c.kind.TimeoutFactor*float64(c.objective())))
}

// speed returns the speed of an upstream.
func (w *world) speed(upstream int) float64 {
	if s := w.pattern.Speeds; len(s) > 0 {
		return s[upstream/rackSize%len(s)]
	}
	return 1
}

// size returns the capacity of an upstream relative to 16 cores.
func (w *world) size(upstream int) float64 {
	sizes := w.pattern.Sizes
	if len(sizes) == 0 {
		sizes = []float64{1, 1, 1.5}
	}
	return sizes[upstream%len(sizes)]
}

// rackSize is the number of upstreams in a rack.
const rackSize = 3
