package sweep

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the chance that the interval of a slope holds the true one, where the
// residuals are independent and normal.
const confidence = 0.95

// Fit is a straight line by least squares. Low and High bound the slope; with fewer than
// three points there is no interval, and both are the slope.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"low"`
	High      float64 `json:"high"`
	R2        float64 `json:"r2"`
}

// At is the line's value.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine fits a line to points.
func fitLine(x, y []float64) Fit {
	if len(x) < 2 {
		return Fit{}
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.Low, f.High = f.Slope, f.Slope
	if f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope); math.IsNaN(f.R2) {
		f.R2 = 0 // all values alike
	}
	free := float64(len(x) - 2)
	if free < 1 {
		return f
	}
	residuals, spread, mean := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		residuals += math.Pow(y[i]-f.At(x[i]), 2)
		spread += math.Pow(x[i]-mean, 2)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile(1 - (1-confidence)/2)
	margin := t * math.Sqrt(residuals/free/spread)
	f.Low, f.High = f.Slope-margin, f.Slope+margin
	return f
}
