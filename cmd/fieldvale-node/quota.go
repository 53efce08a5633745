package main

import (
	"math/rand/v2"

	"fieldvale/quota"
)

// quotaConfig returns the configuration of the quota component.
func (n *node) quotaConfig() quota.Config {
	return quota.Config{
		Self: n.settings.ID, Net: taggedTransport{n, tagQuota}, Clock: n.clock, FleetSize: n.relay.FleetSize, Followers: n.relay.Followers,
		IsMembershipCurrent: n.isConfigConfirmed, MaxPropagationDelay: n.settings.MaxApplyDelay, Rand: rand.Float64, Log: n.logEvent,
	}
}

// registerQuotaMetrics registers how many replicas advertise a limit, the limits, and how
// much of each is used.
func (n *node) registerQuotaMetrics() {
	n.metrics.GaugeFunc("replicas_limited", "Replicas that name a limit, as this instance knows.", func() float64 { return float64(len(n.quota.LimitedReplicas())) })
	n.metrics.GaugeVecFunc("replica_limit_per_second", "What each replica that names a limit takes from all instances together, in requests a second.", "replica", func() map[string]float64 {
		m := map[string]float64{}
		for r, b := range n.quota.LimitedReplicas() {
			m[r] = b.PerSecond
		}
		return m
	})
	n.metrics.GaugeFunc("replicas_fragile", "Replicas that say how many requests they may have to reject in a second, as this instance knows.", func() float64 { return float64(len(n.quota.FragileReplicas())) })
	n.metrics.GaugeVecFunc("replica_rejections", "Rejections in the last second of each fragile replica, at the instance that counts.", "replica", n.quota.RecentRejections)
	n.metrics.GaugeVecFunc("replica_limit_used_per_second", "What each of them got in the last four seconds, at the instance that counts.", "replica", n.quota.UsedRates)
}

// logUnknownHeader logs that an answer has a header of an unknown name.
func (n *node) logUnknownHeader(replica, name string) {
	n.logEvent("answer_header_unknown", "replica", replica, "header", name)
}
