package report

import (
	"bytes"
	"fmt"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"valvering.example/valvering/internal/lab/world"
)

// colours is the Okabe-Ito palette, which most colour-blind readers can distinguish, in an
// order in which neighbours differ in grey too. Lines also differ in their dashes.
var colours = []color.RGBA{
	{0, 114, 178, 255}, {230, 159, 0, 255}, {0, 0, 0, 255}, {204, 121, 167, 255}, {0, 158, 115, 255},
	{213, 94, 0, 255}, {86, 180, 233, 255},
}

var dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)},
	{vg.Points(8), vg.Points(3), vg.Points(2), vg.Points(3)}}

const (
	plotWidth, plotHeight = 9 * vg.Inch, 2.6 * vg.Inch
	legendWidthShare      = 0.35 // width of the legend, as a share of the lines' width
	legendOffsetShare     = 0.72 // start of the legend, as a share of the plot's width
)

// line is a line of a chart.
type line struct {
	name string
	x, y []float64
}

// chart is a plot of lines, with the faults of the run as bands.
type chart struct {
	title, x, y string
	lines       []line
	faults      []world.Fault
	logX        bool
	showPoints  bool
	yMin        float64 // minimum of the y axis, if hasYMin is set
	hasYMin     bool
}

// svg draws a chart as an SVG element.
func (c *chart) svg() (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, c.x, c.y
	p.Title.TextStyle.Font.Size = vg.Points(11)
	p.Add(plotter.NewGrid())
	// The legend is aligned left, so that a font wider than expected extends into free space.
	p.Legend.Top, p.Legend.Left, p.Legend.XOffs = true, true, legendOffsetShare*plotWidth
	p.Legend.Padding = vg.Points(3)
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	top, bottom := 0.0, 0.0
	for i, l := range c.lines {
		points := make(plotter.XYs, 0, len(l.x))
		for k := range l.x {
			points = append(points, plotter.XY{X: l.x[k], Y: l.y[k]})
			top, bottom = max(top, l.y[k]), min(bottom, l.y[k])
		}
		if len(points) == 0 {
			continue
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.title, err)
		}
		drawn.Color = colours[i%len(colours)]
		drawn.Width = vg.Points(1.6)
		drawn.Dashes = dashes[i%len(dashes)]
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
		if c.showPoints {
			dots, err := plotter.NewScatter(points)
			if err != nil {
				return "", fmt.Errorf("%s: %w", c.title, err)
			}
			dots.Color = drawn.Color
			p.Add(dots)
		}
	}
	for i, f := range c.faults {
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.Start.D().Seconds(), Y: bottom},
			{X: f.End().Seconds(), Y: bottom},
			{X: f.End().Seconds(), Y: max(top, 1e-9)}, {X: f.Start.D().Seconds(), Y: max(top, 1e-9)}})
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.title, err)
		}
		band.Color = color.NRGBA{120, 120, 120, 18}
		band.LineStyle.Color = color.NRGBA{120, 120, 120, 120}
		p.Add(band)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.Start.D().Seconds(),
			Y: max(top, 1e-9) * (0.02 + 0.1*float64(i%5))}}, Labels: []string{f.Kind}})
		if err != nil {
			return "", fmt.Errorf("%s: %w", c.title, err)
		}
		p.Add(label)
	}
	if c.logX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if right := p.X.Max; !c.logX {
		p.X.Max = right + legendWidthShare*(right-p.X.Min) // room for the legend beside the lines
	}
	if p.Y.Max = max(top*1.05, 1e-9); c.hasYMin {
		p.Y.Min = c.yMin
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(newCanvas(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("%s: %w", c.title, err)
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:] // drop the XML prolog, which is invalid inside a page
	}
	return text, nil
}
