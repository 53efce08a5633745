// Package measure runs the real decision code on seeded traces and small fakes,
// together with baselines, and prints the resulting figures. It does not model a
// network or a cluster: it models only what a decision depends on, which is
// queues, slots and delayed load reports. It also measures the cost of the router
// and of the control by running their real code over loopback.
package measure

import (
	"fmt"
	"io"
	"sort"
)

// Figure is one measured value with its name and unit.
type Figure struct {
	Item    string
	Variant string
	Metric  string
	Value   float64
	Unit    string
}

// Report collects figures and prints each when it is added.
type Report struct {
	w       io.Writer
	Figures []Figure
}

// NewReport returns a report that prints to w.
func NewReport(w io.Writer) *Report {
	return &Report{w: w}
}

// Add records and prints one figure.
func (r *Report) Add(item, variant, metric string, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{item, variant, metric, value, unit})
	fmt.Fprintf(r.w, "measure: item=%s variant=%s metric=%s value=%.4g unit=%s\n", item, variant, metric, value, unit)
}

// Find returns the value of a recorded figure and whether there is one.
func (r *Report) Find(item, variant, metric string) (float64, bool) {
	for _, f := range r.Figures {
		if f.Item == item && f.Variant == variant && f.Metric == metric {
			return f.Value, true
		}
	}
	return 0, false
}

// quantile sorts the values and returns their q-quantile, or 0 if there are none.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}
