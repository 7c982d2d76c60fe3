package burner

import (
	"io"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a picture.
const (
	barWidth    = 12 // points
	plotHeight  = 4 * vg.Inch
	plotWidth   = 8 * vg.Inch
	budgetLabel = "budget spent exactly"
)

// PlotFormat returns the format of a picture by the name of its file.
func PlotFormat(file string) (string, error) {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	switch format {
	case "pdf", "png", "svg":
		return format, nil
	default:
		return "", errors.Errorf("plot %s: the name must end in .pdf, .png or .svg", file)
	}
}

// WritePlot writes a picture of the burn rates in a format that PlotFormat
// returned: for each window, a bar for each objective.
func (r *Report) WritePlot(w io.Writer, format string) error {
	p := plot.New()
	p.Title.Text = r.plotTitle()
	p.Y.Label.Text = "burn rate"
	p.Legend.Top = true
	names := windowNames(r.Objectives)
	for i, o := range r.Objectives {
		if err := addBars(p, o, i, len(r.Objectives), names); err != nil {
			return errors.Wrapf(err, "plot objective %s", o.Name)
		}
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = plotutil.Dashes(1)
	p.Add(limit)
	p.Legend.Add(budgetLabel, limit)
	if len(names) > 0 {
		p.NominalX(names...)
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1.1)
	picture, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Wrap(err, "draw plot")
	}
	_, err = picture.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// plotTitle names the entries that are missing, so that a picture that stands
// alone does not hide them.
func (r *Report) plotTitle() string {
	title := "Service-level burn"
	if len(r.Missing) == 0 {
		return title
	}
	addresses := make([]string, 0, len(r.Missing))
	for _, m := range r.Missing {
		addresses = append(addresses, m.Address)
	}
	return title + ", without " + strings.Join(addresses, ", ")
}

func windowNames(objectives []Objective) []string {
	var names []string
	for _, o := range objectives {
		if len(o.Windows) < len(names) {
			continue
		}
		names = names[:0]
		for _, w := range o.Windows {
			names = append(names, w.length())
		}
	}
	return names
}

func addBars(p *plot.Plot, o Objective, i, n int, names []string) error {
	rates := make(plotter.Values, len(names))
	for j, w := range o.Windows {
		rates[j] = w.BurnRate
	}
	bars, err := plotter.NewBarChart(rates, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(i)
	bars.LineStyle.Width = 0
	bars.Offset = vg.Points(barWidth * (float64(i) - float64(n-1)/2))
	p.Add(bars)
	p.Legend.Add(o.Name, bars)
	return nil
}
