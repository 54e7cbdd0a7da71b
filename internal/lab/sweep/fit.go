package sweep

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the probability that the interval of a slope contains the true slope, if the
// residuals are independent and normally distributed.
const confidence = 0.95

// Fit is a straight line fitted by least squares. Low and High are the confidence interval of the
// slope. With fewer than three points there is no interval, and both equal the slope.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Low       float64 `json:"low"`
	High      float64 `json:"high"`
	R2        float64 `json:"r2"`
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine fits a line to points. With fewer than two points all fields are 0.
func fitLine(x, y []float64) Fit {
	if len(x) < 2 {
		return Fit{}
	}
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.Low, f.High = f.Slope, f.Slope
	if f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope); math.IsNaN(f.R2) {
		f.R2 = 0 // all values are equal
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
