// Package capacity measures how the cost of each role grows with its size, on
// one machine, and writes the tables of docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement at one size.
type Point struct {
	// N is the size: groups, instances, limits, clients or statements.
	N float64
	// Value is in the unit of the series.
	Value float64
}

// Series is a cost measured at several sizes.
type Series struct {
	Name string
	// Size says what N counts, Unit the unit of the values.
	Size, Unit string
	Points     []Point
}

// Line is a least-squares line through a series.
type Line struct {
	Slope, Intercept float64
	// Error is the largest deviation of a point from the line, relative to the
	// largest value of the series.
	Error float64
}

// Fit returns the least-squares line. It needs at least two sizes.
func (s Series) Fit() Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		n, sx, sy, sxx, sxy = n+1, sx+p.N, sy+p.Value, sxx+p.N*p.N, sxy+p.N*p.Value
	}
	var l Line
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
		l.Intercept = (sy - l.Slope*sx) / n
	}
	largest := 0.0
	for _, p := range s.Points {
		largest = math.Max(largest, math.Abs(p.Value))
		l.Error = math.Max(l.Error, math.Abs(p.Value-l.At(p.N)))
	}
	if largest > 0 {
		l.Error /= largest
	}
	return l
}

// At returns the line's value at a size.
func (l Line) At(n float64) float64 { return l.Intercept + l.Slope*n }

// table returns the series as rows of a Markdown table.
func table(series []Series) string {
	var b strings.Builder
	b.WriteString("| cost | per | measured at (size: value) | slope | constant | largest deviation |\n|---|---|---|---|---|---|\n")
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%s: %s", number(p.N), number(p.Value)))
		}
		l := s.Fit()
		fmt.Fprintf(&b, "| %s (%s) | %s | %s | %s | %s | %.0f%% |\n",
			s.Name, s.Unit, s.Size, strings.Join(points, "; "), number(l.Slope), number(l.Intercept), 100*l.Error)
	}
	return b.String()
}

// number writes a value with three significant digits, and whole if large.
func number(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1e6:
		return fmt.Sprintf("%.2fM", v/1e6)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}
