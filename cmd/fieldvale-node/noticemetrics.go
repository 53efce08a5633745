package main

// registerNoticeMetrics registers the counts of draining replicas and of those that
// requested backoff.
func (n *node) registerNoticeMetrics() {
	n.metrics.GaugeFunc("replicas_say_leaving", "Replicas whose answers said that they leave, listed as ready or not.", func() float64 {
		l, _ := n.notices.Counts()
		return float64(l)
	})
	n.metrics.GaugeFunc("replicas_resting", "Replicas that asked this instance for rest and want no request now.", func() float64 {
		_, r := n.notices.Counts()
		return float64(r)
	})
}
