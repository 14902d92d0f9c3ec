package placer

import (
	"math"
	"math/bits"
	"time"
)

// estimate predicts the run time and memory of a service's tasks from earlier results.
// Until there are minSamples results, the declared values are used. The expected run
// time of a task is either its declared value times the mean ratio of actual to declared
// run time, or the mean run time, whichever has had the smaller error. For a declared
// value of a magnitude with fewer results, it is the declared value: an overhead that
// doubles the run time of short tasks says nothing about long ones.
type estimate struct {
	minSamples         int
	samples            int
	samplesByMagnitude [magnitudes]int // by the magnitude of the declared run time
	mean               float64         // mean run time in seconds
	ratio              float64         // mean logarithm of actual by declared run time
	meanError          float64         // mean absolute error of mean, on a log scale
	ratioError         float64         // mean absolute error of declared times ratio, on a log scale
	meanMemory         float64         // mean peak in bytes; 0 if none was reported
	memoryDeviation    float64         // mean absolute deviation from meanMemory
	peaks              int             // number of results with a memory peak
}

// magnitude returns the number of bits of a run time in nanoseconds, halved.
func magnitude(d time.Duration) int { return bits.Len64(uint64(d)) / 2 }

// magnitudes is the number of values of magnitude.
const magnitudes = 64/2 + 1

const (
	defaultRunTime = 300 * time.Millisecond
	learnRate      = 0.02
	memoryMargin   = 4
)

// runTime returns the expected run time of a task with a declared run time.
func (e *estimate) runTime(declared time.Duration) time.Duration {
	if e.samples < e.minSamples {
		if declared <= 0 {
			return defaultRunTime
		}
		return declared
	}
	if declared > 0 && e.samplesByMagnitude[magnitude(declared)] < e.minSamples {
		return declared
	}
	if declared <= 0 || e.meanError < e.ratioError {
		return seconds(e.mean)
	}
	return seconds(declared.Seconds() * math.Exp(e.ratio))
}

// meanRunTime returns the mean run time of the service's tasks, or 0 if there are too
// few results.
func (e *estimate) meanRunTime() time.Duration {
	if e.samples < e.minSamples {
		return 0
	}
	return seconds(e.mean)
}

// memoryBytes returns the memory to reserve for a task that declares an amount.
func (e *estimate) memoryBytes(declared int64) int64 {
	if e.peaks < e.minSamples {
		return declared
	}
	return int64(e.meanMemory + memoryMargin*e.memoryDeviation)
}

// meanPeakMemory returns the mean memory peak of the service's tasks, without the margin
// that reservations include.
func (e *estimate) meanPeakMemory(declared int64) int64 {
	if e.peaks < e.minSamples {
		return declared
	}
	return int64(e.meanMemory)
}

// learn updates the estimate with the actual run time and memory peak of a task.
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
	e.samplesByMagnitude[magnitude(declared)]++
	ratio := truth - math.Log(declared.Seconds())
	e.ratioError += rate * (math.Abs(ratio-e.ratio) - e.ratioError)
	e.ratio += rate * (ratio - e.ratio)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
