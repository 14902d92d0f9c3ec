package placer

import (
	"math"
	"time"
)

// estimate is what the results of a service say about its tasks. Declared values
// are the first guess. The run time of a task is either its declared value times
// the usual error of declarations, or the usual run time, whichever has been
// nearer to the truth.
type estimate struct {
	minSamples      int
	samples         int
	mean            float64 // usual is the mean run time in seconds.
	ratio           float64 // ratio is the mean of true by declared run time, on a log scale.
	meanError       float64 // usualError is the mean error of usual, on a log scale.
	ratioError      float64 // ratioError is the mean error of declared times ratio, on a log scale.
	meanMemory      float64 // memory is the usual peak in bytes; 0 if none was reported.
	memoryDeviation float64 // memoryDev is the mean deviation from memory.
	peaks           int     // peaks counts the reports of memory.
}

const (
	defaultRunTime = 300 * time.Millisecond
	learnRate      = 0.02
	memoryMargin   = 4
)

// runTime returns the expected run time of a task with a declared one.
func (e *estimate) runTime(declared time.Duration) time.Duration {
	if e.samples < e.minSamples {
		if declared <= 0 {
			return defaultRunTime
		}
		return declared
	}
	if declared <= 0 || e.meanError < e.ratioError {
		return seconds(e.mean)
	}
	return seconds(declared.Seconds() * math.Exp(e.ratio))
}

// usualRunTime returns the mean run time of the service's tasks.
func (e *estimate) meanRunTime() time.Duration {
	if e.samples < e.minSamples {
		return 0
	}
	return seconds(e.mean)
}

// memoryBytes returns the memory to set aside for a task with a declared need.
func (e *estimate) memoryBytes(declared int64) int64 {
	if e.peaks < e.minSamples {
		return declared
	}
	return int64(e.meanMemory + memoryMargin*e.memoryDeviation)
}

// usualMemory returns the memory that a task usually takes at its peak, without the
// margin that is set aside.
func (e *estimate) meanPeakMemory(declared int64) int64 {
	if e.peaks < e.minSamples {
		return declared
	}
	return int64(e.meanMemory)
}

// learn applies the true values of a task.
func (e *estimate) learn(declared, actual time.Duration, peak int64) {
	if actual > 0 {
		e.learnRunTime(declared, actual)
	}
	if peak > 0 {
		e.peaks++
		rate := max(learnRate, 1/float64(e.peaks))
		e.memoryDeviation += rate * (math.Abs(float64(peak)-e.meanMemory) - e.memoryDeviation)
		e.meanMemory += rate * (float64(peak) - e.meanMemory)
		if e.peaks == 1 {
			e.memoryDeviation = 0
		}
	}
}

func (e *estimate) learnRunTime(declared, actual time.Duration) {
	e.samples++
	rate := max(learnRate, 1/float64(e.samples))
	truth := math.Log(actual.Seconds())
	if e.mean > 0 {
		e.meanError += rate * (math.Abs(truth-math.Log(e.mean)) - e.meanError)
	}
	e.mean += rate * (actual.Seconds() - e.mean)
	if declared <= 0 {
		return
	}
	ratio := truth - math.Log(declared.Seconds())
	e.ratioError += rate * (math.Abs(ratio-e.ratio) - e.ratioError)
	e.ratio += rate * (ratio - e.ratio)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
