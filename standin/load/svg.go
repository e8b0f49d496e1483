package load

import (
	"fmt"
	"html"
	"strings"
	"time"
)

// Sizes of a plot in pixels.
const (
	plotWidth, plotHeight         = 760, 220
	plotLeft, plotTop             = 50, 40
	plotAreaWidth, plotAreaHeight = 690, 140
	plotTicks                     = 5
	colourBar, colourMarker       = "#3b6ea5", "#b33"
)

// marker is a labelled vertical line at an offset from the start of the plot.
type marker struct {
	at    time.Duration
	label string
}

// plot is a bar chart over time.
type plot struct {
	title, unit string
	// binWidth is the time covered by one bar.
	binWidth time.Duration
	values   []float64
	markers  []marker
}

// svg renders the plot as a self-contained SVG document.
func (p plot) svg() string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	fmt.Fprintf(&b, `<text x="%d" y="16" font-size="13">%s</text>`+"\n", plotLeft, html.EscapeString(p.title))
	top := p.maxValue()
	total := max(p.binWidth*time.Duration(len(p.values)), 1)
	x := func(d time.Duration) float64 { return plotLeft + plotAreaWidth*d.Seconds()/total.Seconds() }
	barWidth := plotAreaWidth / float64(max(len(p.values), 1))
	for i, v := range p.values {
		h := plotAreaHeight * v / top
		fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`+"\n",
			plotLeft+float64(i)*barWidth, plotTop+plotAreaHeight-h, max(barWidth-0.5, 0.5), h, colourBar)
	}
	for i, m := range p.markers {
		fmt.Fprintf(&b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="%s" stroke-dasharray="4 2"/>`+"\n",
			x(m.at), plotTop-4, x(m.at), plotTop+plotAreaHeight, colourMarker)
		// Alternating heights keep the labels of adjacent markers from overlapping.
		fmt.Fprintf(&b, `<text x="%.1f" y="%d" fill="%s">%s</text>`+"\n",
			x(m.at)+3, plotTop-6+10*(i%2), colourMarker, html.EscapeString(m.label))
	}
	p.axes(&b, top, total, x)
	b.WriteString("</svg>\n")
	return b.String()
}

// maxValue returns the upper end of the value axis: the largest value, at least 1.
func (p plot) maxValue() float64 {
	largest := 1.0
	for _, v := range p.values {
		largest = max(largest, v)
	}
	return largest
}

// axes draws the axes with their labels; x converts a time to a coordinate.
func (p plot) axes(b *strings.Builder, top float64, total time.Duration, x func(time.Duration) float64) {
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="black"/>`+"\n",
		plotLeft, plotTop, plotTop+plotAreaHeight, plotLeft+plotAreaWidth)
	for i := range plotTicks + 1 {
		t := total * time.Duration(i) / plotTicks
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">%.1f s</text>`+"\n", x(t), plotTop+plotAreaHeight+14, t.Seconds())
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%.0f</text>`+"\n", plotLeft-4, plotTop+8, top)
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">0</text>`+"\n", plotLeft-4, plotTop+plotAreaHeight)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", plotLeft, plotTop+plotAreaHeight+32, html.EscapeString(p.unit))
}
