// Package savoryslope fits lines to measurements by least squares and
// extrapolates them to a target size.
package savoryslope

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Series is a quantity measured at several sizes.
type Series struct {
	Name string
	// Unit is the unit of Y and Per is the unit of X.
	Unit string
	Per  string
	X    []float64
	Y    []float64
	// Target is the size to which the line is extrapolated.
	Target float64
}

// Fit is the least-squares line through the points of a series.
type Fit struct {
	Slope     float64
	Intercept float64
	// Residual is the largest vertical distance of a point from the line, as a
	// fraction of the largest absolute Y.
	Residual float64
}

// Add appends a point.
func (s *Series) Add(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// Fit returns the least-squares line through the points. The slope is 0 if all
// X are equal.
func (s *Series) Fit() Fit {
	n := float64(len(s.X))
	var sx, sy, sxx, sxy, maxY float64
	for i, x := range s.X {
		y := s.Y[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
		maxY = max(maxY, math.Abs(y))
	}
	var f Fit
	if d := n*sxx - sx*sx; d != 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	f.Intercept = (sy - f.Slope*sx) / n
	for i, x := range s.X {
		if maxY > 0 {
			f.Residual = max(f.Residual, math.Abs(s.Y[i]-f.At(x))/maxY)
		}
	}
	return f
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// Print writes a table of the series with their lines and the values at the
// target.
func Print(w io.Writer, series []*Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUANTITY\tUNIT\tAGAINST\tPOINTS\tSLOPE\tINTERCEPT\tRESIDUAL\tAT\tVALUE")
	for _, s := range series {
		f := s.Fit()
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\t%.0f\t%.4g\n",
			s.Name, s.Unit, s.Per, formatPoints(s), f.Slope, f.Intercept, 100*f.Residual, s.Target, f.At(s.Target))
	}
	return t.Flush()
}

// formatPoints returns the points as pairs x:y separated by blanks.
func formatPoints(s *Series) string {
	text := ""
	for i, x := range s.X {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.0f:%.4g", x, s.Y[i])
	}
	return text
}
