package main

func (n *node) gaugeNotices() {
	n.metrics.Gauge("replicas_say_leaving", "Replicas whose answers said that they leave, listed as ready or not.", func() float64 {
		l, _ := n.notices.Counts()
		return float64(l)
	})
	n.metrics.Gauge("replicas_resting", "Replicas that asked this instance for rest and want no request now.", func() float64 {
		_, r := n.notices.Counts()
		return float64(r)
	})
}
