package measure

import (
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// barPlot is a plot of one metric for the variants of an item whose names begin
// with prefix.
type barPlot struct {
	file, title, item, metric, prefix string
}

var barPlots = []barPlot{
	{"cascade-cost", "Cost against always-strong", "cascade", "cost_of_always_strong", ""},
	{"cascade-quality", "Answers at the quality target", "cascade", "answers_at_target", ""},
	{"placement-p99", "Placement: p99 in s, reports 1 s old", "placement", "latency_p99", "shared-memory/"},
	{"placement-hits", "Placement: cache hits", "placement", "cache_hits", "shared-memory/"},
	{"overload-useful", "Useful answers of what was possible", "overload", "useful_of_possible", ""},
	{"rollout-exposed", "Requests exposed to a bad version (median)", "rollout", "exposed_p50", ""},
	{"policy-time", "Time of one policy decision in ns", "policy", "time_a_decision", ""},
}

// linePlot is a plot of metrics over the size of the fleet.
type linePlot struct {
	file, title, item string
	metrics           []string
}

var linePlots = []linePlot{
	{"control-processor", "Control: percent of a core, by instances", "control", []string{"processor_of_a_core"}},
	{"control-traffic", "Control: kB/s of an instance, by instances", "control", []string{"peer_traffic", "load_traffic"}},
	{"control-store", "Calls of the store a second, by instances", "control", []string{"store_reads_of_fleet", "store_writes_of_fleet"}},
	{"spread", "A change in force after s, by instances", "spread", []string{"in_force_p50", "in_force_p99", "in_force_last"}},
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter / 2
)

// Plots writes the report's figures as SVG files into the directory. It omits plots
// without figures.
func Plots(r *Report, dir string) error {
	for _, b := range barPlots {
		if err := r.writeBarPlot(b, dir); err != nil {
			return errors.Wrap(err, b.file)
		}
	}
	for _, l := range linePlots {
		if err := r.writeLinePlot(l, dir); err != nil {
			return errors.Wrap(err, l.file)
		}
	}
	return nil
}

// writeBarPlot writes one bar plot, or nothing if the report has no figures for it.
func (r *Report) writeBarPlot(b barPlot, dir string) error {
	var values plotter.Values
	var names []string
	for _, figure := range r.Figures {
		if figure.Item == b.item && figure.Metric == b.metric && strings.HasPrefix(figure.Variant, b.prefix) {
			values = append(values, figure.Value)
			names = append(names, strings.TrimPrefix(figure.Variant, b.prefix))
		}
	}
	if len(values) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = b.title
	p.Y.Min = 0
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	p.Add(chart)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, b.file+".svg"))
}

// writeLinePlot writes one line plot, or nothing if the report has no figures for
// it. Variants that are not a number are no fleet sizes and are skipped.
func (r *Report) writeLinePlot(l linePlot, dir string) error {
	p := plot.New()
	p.Title.Text = l.title
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	hasData := false
	for n, metric := range l.metrics {
		var xy plotter.XYs
		for _, figure := range r.Figures {
			if size, err := strconv.ParseFloat(figure.Variant, 64); err == nil && figure.Item == l.item && figure.Metric == metric {
				xy = append(xy, plotter.XY{X: size, Y: figure.Value})
			}
		}
		if len(xy) == 0 {
			continue
		}
		hasData = true
		line, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(float64(8 - 3*n)), vg.Points(float64(n * 2))}
		p.Add(line, points)
		p.Legend.Add(metric, line, points)
	}
	if !hasData {
		return nil
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, l.file+".svg"))
}
