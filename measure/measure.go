// Package measure replays the real decision code against seeded traces and
// small fakes, beside baselines in the same run, and prints what came out.
// It has no model of a network or a cluster: only queues, slots and reports
// that lag, as far as a decision sees them.
package measure

import (
	"fmt"
	"io"
	"sort"
)

// Value is one measured figure.
type Value struct {
	Item    string
	Variant string
	Metric  string
	Value   float64
	Unit    string
}

// Report gathers figures and prints each as it comes.
type Report struct {
	w      io.Writer
	Values []Value
}

// NewReport returns a report that prints to w.
func NewReport(w io.Writer) *Report {
	return &Report{w: w}
}

// Add notes and prints one figure.
func (r *Report) Add(item, variant, metric string, value float64, unit string) {
	r.Values = append(r.Values, Value{item, variant, metric, value, unit})
	fmt.Fprintf(r.w, "measure: item=%s variant=%s metric=%s value=%.4g unit=%s\n", item, variant, metric, value, unit)
}

// Find returns a figure that was noted.
func (r *Report) Find(item, variant, metric string) (float64, bool) {
	for _, v := range r.Values {
		if v.Item == item && v.Variant == variant && v.Metric == metric {
			return v.Value, true
		}
	}
	return 0, false
}

// quantile returns the q-quantile of values, which it sorts.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}
