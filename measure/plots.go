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

// bars is one plot of a metric over the variants of an item.
type bars struct {
	file, title, item, metric, prefix string
}

var barPlots = []bars{
	{"cascade-cost", "Cost against always-strong", "cascade", "cost_of_always_strong", ""},
	{"cascade-quality", "Answers at the quality target", "cascade", "answers_at_target", ""},
	{"placement-p99", "Placement: p99 in s, reports 1 s old", "placement", "latency_p99", "shared-memory/"},
	{"placement-hits", "Placement: cache hits", "placement", "cache_hits", "shared-memory/"},
	{"overload-useful", "Useful answers of what was possible", "overload", "useful_of_possible", ""},
	{"rollout-exposed", "Requests exposed to a bad version (median)", "rollout", "exposed_p50", ""},
	{"policy-time", "Time of one policy decision in ns", "policy", "time_a_decision", ""},
}

// lines is one plot of metrics over the size of the fleet.
type lines struct {
	file, title, item string
	metrics           []string
}

var linePlots = []lines{
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

// Plots writes what the report has as SVG files into the directory.
func Plots(r *Report, dir string) error {
	for _, b := range barPlots {
		if err := r.plotBars(b, dir); err != nil {
			return errors.Wrap(err, b.file)
		}
	}
	for _, l := range linePlots {
		if err := r.plotLines(l, dir); err != nil {
			return errors.Wrap(err, l.file)
		}
	}
	return nil
}

func (r *Report) plotBars(b bars, dir string) error {
	var v plotter.Values
	var names []string
	for _, x := range r.Values {
		if x.Item == b.item && x.Metric == b.metric && strings.HasPrefix(x.Variant, b.prefix) {
			v = append(v, x.Value)
			names = append(names, strings.TrimPrefix(x.Variant, b.prefix))
		}
	}
	if len(v) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = b.title
	p.Y.Min = 0
	c, err := plotter.NewBarChart(v, barWidth)
	if err != nil {
		return err
	}
	p.Add(c)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, b.file+".svg"))
}

func (r *Report) plotLines(l lines, dir string) error {
	p := plot.New()
	p.Title.Text = l.title
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	some := false
	for n, m := range l.metrics {
		var xy plotter.XYs
		for _, x := range r.Values {
			if f, err := strconv.ParseFloat(x.Variant, 64); err == nil && x.Item == l.item && x.Metric == m {
				xy = append(xy, plotter.XY{X: f, Y: x.Value})
			}
		}
		if len(xy) == 0 {
			continue
		}
		some = true
		c, s, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		c.Dashes = []vg.Length{vg.Points(float64(8 - 3*n)), vg.Points(float64(n * 2))}
		p.Add(c, s)
		p.Legend.Add(m, c, s)
	}
	if !some {
		return nil
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, l.file+".svg"))
}
