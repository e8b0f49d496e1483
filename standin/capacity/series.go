// Package capacity measures on one machine how memory, processor time and message
// sizes grow with the number of groups, limits, instances, clients and statements,
// and writes the tables of docs/CAPACITY.md. It is a development tool.
package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement at one size.
type Point struct {
	// N is the number of groups, instances, limits, clients or statements.
	N float64
	// Value is the cost in the unit of the series.
	Value float64
}

// Series is a cost measured at several sizes.
type Series struct {
	Name string
	// Size names what N counts; Unit is the unit of the values.
	Size, Unit string
	Points     []Point
}

// Line is the least-squares line of a series.
type Line struct {
	Slope, Intercept float64
	// MaxDeviation is the largest deviation of a point from the line, relative to the
	// largest value of the series.
	MaxDeviation float64
}

// Fit returns the least-squares line of the series. It needs points of at least two
// sizes; otherwise slope and intercept are 0.
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
		l.MaxDeviation = math.Max(l.MaxDeviation, math.Abs(p.Value-l.At(p.N)))
	}
	if largest > 0 {
		l.MaxDeviation /= largest
	}
	return l
}

// At returns the value of the line at size n.
func (l Line) At(n float64) float64 { return l.Intercept + l.Slope*n }

// markdownTable formats the series as a Markdown table with one row per series.
func markdownTable(series []Series) string {
	var b strings.Builder
	b.WriteString("| cost | per | measured at (size: value) | slope | constant | largest deviation |\n|---|---|---|---|---|---|\n")
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%s: %s", formatNumber(p.N), formatNumber(p.Value)))
		}
		l := s.Fit()
		fmt.Fprintf(&b, "| %s (%s) | %s | %s | %s | %s | %.0f%% |\n",
			s.Name, s.Unit, s.Size, strings.Join(points, "; "), formatNumber(l.Slope), formatNumber(l.Intercept), 100*l.MaxDeviation)
	}
	return b.String()
}

// formatNumber formats a value: millions with suffix M, values from 100 without
// decimals, smaller ones with two decimals and those below 1 with two significant
// digits.
func formatNumber(v float64) string {
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
