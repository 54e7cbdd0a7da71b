package report

// Line is one line of a plot that is drawn for a page of another package.
type Line struct {
	Name string
	X, Y []float64
}

// Plot draws lines as SVG for a page, in the colours and dashes of all reports.
func Plot(title, x, y string, lines []Line) (string, error) {
	c := chart{title: title, x: x, y: y, low: true}
	for _, l := range lines {
		c.lines = append(c.lines, line{l.Name, l.X, l.Y})
	}
	return c.svg()
}
