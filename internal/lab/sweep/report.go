package sweep

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Files in the directory of a result.
const (
	resultFile = "sweep.json"
	tableFile  = "sweep.md"
)

const plotWidth, plotHeight = 6 * vg.Inch, 3 * vg.Inch

// WriteTable writes a Markdown table for each quantity, with the median at each size and the slope
// with its confidence interval.
func (r *Result) WriteTable(w io.Writer) error {
	var last Quantity
	for _, s := range r.Series {
		if s.Quantity != last {
			last = s.Quantity
			if err := writeHeader(w, s); err != nil {
				return err
			}
		}
		cells := []string{s.Measure, s.Unit}
		for _, p := range s.Points {
			cells = append(cells, formatNumber(p.Median))
		}
		cells = append(cells, formatNumber(s.Fit.Slope),
			formatNumber(s.Fit.Low)+" to "+formatNumber(s.Fit.High), fmt.Sprintf("%.3f", s.Fit.R2))
		if _, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")); err != nil {
			return err
		}
	}
	return nil
}

func writeHeader(w io.Writer, s Series) error {
	cells := []string{string(s.Quantity), "unit"}
	for _, p := range s.Points {
		cells = append(cells, fmt.Sprint(p.X))
	}
	cells = append(cells, "slope", "95 in 100", "R2")
	_, err := fmt.Fprintf(w, "\n| %s |\n|%s\n", strings.Join(cells, " | "),
		strings.Repeat(" --- |", len(cells)))
	return err
}

// formatNumber formats a number with three digits, or from 1,000 on as an integer.
func formatNumber(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Write writes the result as JSON, tables and one plot for each measure to a directory, which it
// creates if needed.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultFile), append(data, '\n'), 0o644); err != nil {
		return err
	}
	var table strings.Builder
	if err := r.WriteTable(&table); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, tableFile), []byte(table.String()), 0o644); err != nil {
		return err
	}
	for i := range r.Series {
		if err := r.Series[i].plot(filepath.Join(dir,
			fmt.Sprintf("%s-%02d.svg", r.Series[i].Quantity, i))); err != nil {
			return err
		}
	}
	return nil
}

// plot draws all values and the fitted line.
func (s *Series) plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Measure, string(s.Quantity), s.Unit
	var dots, line plotter.XYs
	for _, point := range s.Points {
		for _, v := range point.Values {
			dots = append(dots, plotter.XY{X: float64(point.X), Y: v})
		}
		line = append(line, plotter.XY{X: float64(point.X), Y: s.Fit.At(float64(point.X))})
	}
	if len(dots) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Measure, err)
	}
	fitted, err := plotter.NewLine(line)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Measure, err)
	}
	fitted.Color = color.RGBA{0, 114, 178, 255}
	p.Add(plotter.NewGrid(), scatter, fitted)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("%s: %w", s.Measure, err)
	}
	return nil
}
