package report

// Line is a line of a plot for another package.
type Line struct {
	Name string
	X, Y []float64
}

// Plot draws lines as an SVG element, in the colours and dashes of the reports.
func Plot(title, x, y string, lines []Line) (string, error) {
	c := chart{title: title, x: x, y: y, hasYMin: true}
	for _, l := range lines {
		c.lines = append(c.lines, line{l.Name, l.X, l.Y})
	}
	return c.svg()
}
