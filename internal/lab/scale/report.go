package scale

import (
	"fmt"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is the growth of a quantity with a size, fitted by linear regression.
type Slope struct {
	Role      string  `json:"role"`
	Quantity  string  `json:"quantity"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Spread    float64 `json:"spread"` // standard error of the slope; 0 with fewer than three points
	Intercept float64 `json:"intercept"`
}

// Figure is a single measured value.
type Figure struct {
	Role  string  `json:"role"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// Report holds all measurements of a run.
type Report struct {
	Quick   bool     `json:"quick"`
	Cores   int      `json:"cores"`
	Slopes  []Slope  `json:"slopes"`
	Figures []Figure `json:"figures"`
}

// addSlope fits a slope to the points and adds it to the report.
func (r *Report) addSlope(role, quantity, unit, per string, points []Point) {
	slope := Slope{Role: role, Quantity: quantity, Unit: unit, Per: per, Points: points}
	slope.fit()
	r.Slopes = append(r.Slopes, slope)
}

func (r *Report) addFigure(role, name, unit string, value float64) {
	r.Figures = append(r.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value})
}

// fit computes the least-squares line through the points.
func (s *Slope) fit() {
	var xs, ys []float64
	for _, point := range s.Points {
		xs, ys = append(xs, point.Size), append(ys, point.Value)
	}
	if len(xs) < 2 {
		return
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	if len(xs) < 3 {
		return
	}
	residual, spread, mean := 0.0, 0.0, stat.Mean(xs, nil)
	for i := range xs {
		residual += math.Pow(ys[i]-s.Intercept-s.Slope*xs[i], 2)
		spread += math.Pow(xs[i]-mean, 2)
	}
	s.Spread = math.Sqrt(residual / float64(len(xs)-2) / spread)
}

// Markdown returns the slopes and figures as tables.
func (r *Report) Markdown() string {
	var text strings.Builder
	text.WriteString("| role | quantity | slope | spread | unit | per | measured at |\n|---|---|---:|---:|---|---|---|\n")
	for _, slope := range r.Slopes {
		var sizes []string
		for _, point := range slope.Points {
			sizes = append(sizes, fmt.Sprintf("%g", point.Size))
		}
		fmt.Fprintf(&text, "| %s | %s | %.4g | %.2g | %s | %s | %s |\n",
			slope.Role, slope.Quantity, slope.Slope, slope.Spread, slope.Unit, slope.Per, strings.Join(sizes, ", "))
	}
	text.WriteString("\n| role | figure | value | unit |\n|---|---|---:|---|\n")
	for _, figure := range r.Figures {
		fmt.Fprintf(&text, "| %s | %s | %.4g | %s |\n", figure.Role, figure.Name, figure.Value, figure.Unit)
	}
	return text.String()
}
