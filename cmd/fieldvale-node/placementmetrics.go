package main

// registerPlacementMetrics registers the counts of runs that are placed by completion.
func (n *node) registerPlacementMetrics() {
	n.metrics.GaugeFunc("placement_runs", "Running requests that this instance counts as the owner of their group.", func() float64 {
		return float64(n.placer.RunCounts().Known)
	})
	n.metrics.CounterFunc("placement_runs_reported_total", "Open runs that this instance reported to new owners of groups, repeats included.", func() float64 {
		return float64(n.placer.RunCounts().Reported)
	})
	n.metrics.CounterFunc("placement_runs_received_total", "Open runs that were reported to this instance as a new owner, repeats included.", func() float64 {
		return float64(n.placer.RunCounts().Received)
	})
}
