package scale

import (
	"fmt"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes a plot of each slope and its points to a folder.
func (r *Report) Plot(folder string) error {
	for number, slope := range r.Slopes {
		if err := slope.plot(filepath.Join(folder, fmt.Sprintf("slope-%02d.png", number+1))); err != nil {
			return err
		}
	}
	return nil
}

func (s *Slope) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.Role + ": " + s.Quantity
	p.X.Label.Text, p.Y.Label.Text = s.Per, s.Unit
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Value}
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrapf(err, "draw %s", path)
	}
	fitted := plotter.NewFunction(func(size float64) float64 { return s.Intercept + s.Slope*size })
	p.Add(measured, fitted)
	p.Y.Min = min(0, p.Y.Min)
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "save %s", path)
}
