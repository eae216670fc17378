package bench

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Point is one point of a Series, in data units.
type Point struct {
	X, Y float64
}

// Series is a named line of a plot.
type Series struct {
	Name   string
	Points []Point
}

// Plot is a line chart.
type Plot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
}

// Layout of a plot: sizes in pixels and the number of intervals on each axis.
const (
	plotWidth  = 720
	plotHeight = 400
	plotMargin = 60
	plotTicks  = 5
)

var plotColors = []string{"#1b6ca8", "#c0392b", "#1e8449", "#8e44ad", "#b9770e", "#34495e"}

// bounds returns the upper end of both axes. It is positive, so that scaling never
// divides by zero.
func (p *Plot) bounds() (maxX, maxY float64) {
	for _, s := range p.Series {
		for _, point := range s.Points {
			maxX, maxY = max(maxX, point.X), max(maxY, point.Y)
		}
	}
	return max(maxX, 1e-9), max(maxY, 1e-9)
}

// WriteSVG writes the plot as an SVG document. Both axes start at zero.
func (p *Plot) WriteSVG(w io.Writer) error {
	maxX, maxY := p.bounds()
	x := func(v float64) float64 { return plotMargin + v/maxX*(plotWidth-2*plotMargin) }
	y := func(v float64) float64 { return plotHeight - plotMargin - v/maxY*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="24" font-size="15">%s</text>`+"\n", plotMargin, html.EscapeString(p.Title))
	for i := range plotTicks + 1 {
		vx, vy := maxX*float64(i)/plotTicks, maxY*float64(i)/plotTicks
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" text-anchor="middle">%.4g</text>`, x(vx), plotHeight-plotMargin+18, vx)
		fmt.Fprintf(&b, `<text x="%d" y="%.1f" text-anchor="end">%.4g</text>`, plotMargin-6, y(vy)+4, vy)
		fmt.Fprintf(&b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`+"\n", plotMargin, plotWidth-plotMargin, y(vy), y(vy))
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d" text-anchor="middle">%s</text>`, plotWidth/2, plotHeight-16, html.EscapeString(p.XLabel))
	fmt.Fprintf(&b, `<text x="8" y="%d">%s</text>`+"\n", plotMargin-14, html.EscapeString(p.YLabel))
	for i, s := range p.Series {
		color := plotColors[i%len(plotColors)]
		var points strings.Builder
		for _, point := range s.Points {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(point.X), y(point.Y))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`, color, points.String())
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+10, plotMargin+14*i, color, html.EscapeString(s.Name))
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}
