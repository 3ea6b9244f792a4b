package experiment

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// savePlot plots what was asked for and served in each second, with the mean level of the nodes below it.
func (r *Result) savePlot(path, name string) error {
	p := plot.New()
	p.Title.Text = r.Experiment.Name + ", " + name + ", seed " + fmt.Sprint(r.Seeds[0]) + " (simulated)"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "billed value a second; level as bands"
	var asked, served, level plotter.XYs
	most, top := 1.0, 1.0
	for _, s := range r.Outcomes[name][0].Seconds {
		asked, served = append(asked, plotter.XY{X: s.At, Y: s.Asked}), append(served, plotter.XY{X: s.At, Y: s.Served})
		sum, n := 0.0, 0.0
		for _, l := range s.Levels {
			if l >= 0 {
				sum, n = sum+float64(l), n+1
			}
		}
		most, top = max(most, s.Asked), max(top, sum/max(1, n))
		level = append(level, plotter.XY{X: s.At, Y: sum / max(1, n)})
	}
	for i := range level {
		level[i].Y *= most / 4 / top
	}
	for i, of := range []plotter.XYs{asked, served, level} {
		line, err := plotter.NewLine(of)
		if err != nil {
			return err
		}
		line.Color = lineColors[i]
		if i == 2 {
			line.FillColor = levelFillColor
		}
		p.Add(line)
		p.Legend.Add([]string{"asked for", "served", "mean level"}[i], line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}

var (
	lineColors     = []color.Color{color.RGBA{120, 120, 120, 255}, color.RGBA{20, 90, 160, 255}, color.RGBA{200, 120, 20, 255}}
	levelFillColor = color.RGBA{200, 120, 20, 60}
)
