package main

import (
	"math/rand/v2"

	"fieldvale/quota"
)

func (n *node) quotaPorts() quota.Config {
	return quota.Config{
		Self: n.s.ID, Net: tagged{n, tagQuota}, Clock: n.clock, FleetSize: n.relay.FleetSize, Followers: n.relay.Followers,
		IsMembershipCurrent: n.isCurrent, MaxPropagationDelay: n.s.ApplyWithin, Rand: rand.Float64, Log: n.event,
	}
}

func (n *node) gaugeQuota() {
	n.metrics.Gauge("replicas_limited", "Replicas that name a limit, as this instance knows.", func() float64 { return float64(len(n.quota.LimitedReplicas())) })
	n.metrics.Gauges("replica_limit_per_second", "What each replica that names a limit takes from all instances together, in requests a second.", "replica", func() map[string]float64 {
		m := map[string]float64{}
		for r, b := range n.quota.LimitedReplicas() {
			m[r] = b.PerSecond
		}
		return m
	})
	n.metrics.Gauges("replica_limit_used_per_second", "What each of them got in the last four seconds, at the instance that counts.", "replica", n.quota.UsedRates)
}

// unknownHeader logs that an answer says something that is not understood.
func (n *node) unknownHeader(replica, name string) {
	n.event("answer_header_unknown", "replica", replica, "header", name)
}
