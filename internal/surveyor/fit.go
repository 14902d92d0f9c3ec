package surveyor

import "math"

// Fit is the line fitted by least squares: value = Base + PerUnit * size.
type Fit struct {
	Base    float64 `json:"base"`
	PerUnit float64 `json:"per-unit"`
	// StandardError is the standard error of PerUnit, zero with fewer than three samples.
	StandardError float64 `json:"error"`
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.PerUnit*size }

func fitLine(samples []Sample) Fit {
	n := float64(len(samples))
	if n == 0 {
		return Fit{}
	}
	var meanSize, meanValue float64
	for _, s := range samples {
		meanSize += s.Size / n
		meanValue += s.Value / n
	}
	var sizeSquares, products float64
	for _, s := range samples {
		sizeSquares += (s.Size - meanSize) * (s.Size - meanSize)
		products += (s.Size - meanSize) * (s.Value - meanValue)
	}
	if sizeSquares == 0 {
		return Fit{Base: meanValue}
	}
	f := Fit{PerUnit: products / sizeSquares}
	f.Base = meanValue - f.PerUnit*meanSize
	if n > 2 {
		f.StandardError = math.Sqrt(residuals(samples, f) / (n - 2) / sizeSquares)
	}
	return f
}

// residuals returns the sum of the squared distances from the line.
func residuals(samples []Sample, f Fit) float64 {
	sum := 0.0
	for _, s := range samples {
		d := s.Value - f.At(s.Size)
		sum += d * d
	}
	return sum
}
