package main

// registerConfigMetrics registers the metrics of the configuration in force: its version,
// the time since it was confirmed, and how many answers relied on an outdated one.
func (n *node) registerConfigMetrics() {
	n.staleAnswers = n.metrics.Counter("stale_answers_total", "Answers by a configuration that was not confirmed for as long as a change may take to be in force: routed, or denied (0 by design).", "act")
	n.metrics.GaugeFunc("config_version", "Version of the configuration in force; 0 for none.", func() float64 { return float64(n.configVersion()) })
	n.metrics.GaugeFunc("config_age_seconds", "Time since the last moment for which nothing newer than what is known is known to have existed; -1 before the first.", func() float64 {
		a, ok := n.lease.Age(n.clock())
		if !ok {
			return -1
		}
		return a.Seconds()
	})
}

// configVersion returns the version of the configuration in force; 0 for none.
func (n *node) configVersion() uint64 {
	if t := n.view.Get().Table; t != nil {
		return t.Version
	}
	return 0
}

// registerStoreMetrics registers the counter of calls to the store, and returns the
// function that counts a call.
func (n *node) registerStoreMetrics() func(call, result string) {
	c := n.metrics.Counter("store_calls_total", "Calls of the store that have ended, by call and result: a status, unreached, or unanswered.", "call", "result")
	return func(call, result string) { c.WithLabelValues(call, result).Inc() }
}
