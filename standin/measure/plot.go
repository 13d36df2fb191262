package measure

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot writes a bar chart of the medians as an SVG file to a folder for each
// of two measures that has rows. Where a faulty server is not detected, the
// bar shows the observation time.
func Plot(folder string, rows []Row) error {
	for _, name := range []string{"detection_time", "refused_within_rate"} {
		if err := plotMeasure(filepath.Join(folder, name+".svg"), name, rows); err != nil {
			return err
		}
	}
	return nil
}

// observationMillis is plotted where a faulty server is not detected.
const observationMillis = 20000

func plotMeasure(file, name string, rows []Row) error {
	p := plot.New()
	var values plotter.Values
	var labels []string
	for _, r := range rows {
		if r.Measure != name {
			continue
		}
		p.Title.Text = name
		p.Y.Label.Text = r.Unit
		v := r.Median
		if v == notDetected {
			v = observationMillis
		}
		values = append(values, v)
		labels = append(labels, r.Site+": "+r.Policy+"\n"+r.Condition)
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, vg.Points(14))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	p.Add(bars)
	p.NominalY(labels...)
	return p.Save(9*vg.Inch, vg.Length(len(labels))*0.45*vg.Inch+vg.Inch, file)
}
