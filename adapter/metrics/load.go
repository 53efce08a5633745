package metrics

import (
	"time"

	"fieldvale/load"
)

// LoadHooks registers the metrics of load reports and returns the hooks that count them.
func (r *Registry) LoadHooks() load.Hooks {
	results := r.Counter("load_reports_total", "Load reports in answers of backend servers, by result.", "result")
	age := r.Histogram("load_report_age_seconds", "Age of the load report of a chosen replica at the choice.")
	return load.Hooks{
		Reported: func(x load.Result) { results.WithLabelValues(string(x)).Inc() },
		Used:     func(d time.Duration) { age.WithLabelValues().Observe(d.Seconds()) },
	}
}
