package burnmeter

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

// Dimensions and legend of a plot.
const (
	barWidth    = 12 // points (1/72 inch)
	plotHeight  = 4 * vg.Inch
	plotWidth   = 8 * vg.Inch
	budgetLabel = "budget spent exactly"
)

// PlotFormat returns the image format for a file name: pdf, png or svg.
func PlotFormat(file string) (string, error) {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	switch format {
	case "pdf", "png", "svg":
		return format, nil
	default:
		return "", errors.Errorf("plot %s: the name must end in .pdf, .png or .svg", file)
	}
}

// WritePlot writes a bar chart of the burn rates, grouped by window, with a bar per
// objective. The format is one that PlotFormat returns.
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
	budgetLine := plotter.NewFunction(func(float64) float64 { return 1 })
	budgetLine.Dashes = plotutil.Dashes(1)
	p.Add(budgetLine)
	p.Legend.Add(budgetLabel, budgetLine)
	if len(names) > 0 {
		p.NominalX(names...)
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1.1)
	image, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return errors.Wrap(err, "draw plot")
	}
	_, err = image.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// plotTitle returns the title of the plot. It lists the missing entries, so that the
// plot shows that it is incomplete even without the report.
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

// windowNames returns the labels of the windows of the objective with the most
// windows.
func windowNames(objectives []Objective) []string {
	var names []string
	for _, o := range objectives {
		if len(o.Windows) < len(names) {
			continue
		}
		names = names[:0]
		for _, w := range o.Windows {
			names = append(names, w.label())
		}
	}
	return names
}

// addBars adds the bars of objective i of n to the plot.
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
