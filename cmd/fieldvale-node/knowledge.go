package main

// gaugeKnowledge tells how old what the instance knows is.
func (n *node) gaugeKnowledge() {
	n.metrics.Gauge("config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if t := n.view.Get().Table; t != nil {
			return float64(t.Version)
		}
		return 0
	})
	n.metrics.Gauge("config_age_seconds", "Time since the last moment for which nothing newer than what is known is known to have existed; -1 before the first.", func() float64 {
		a, ok := n.lease.Age(n.clock())
		if !ok {
			return -1
		}
		return a.Seconds()
	})
}

// storeCalls counts the store's calls.
func (n *node) storeCalls() func(call, result string) {
	c := n.metrics.Counter("store_calls_total", "Calls of the store that have ended, by call and result: a status, unreached, or unanswered.", "call", "result")
	return func(call, result string) { c.WithLabelValues(call, result).Inc() }
}
