package main

import (
	"maps"
	"slices"
	"time"

	"fieldvale/budget"
)

// retryConfig returns the configuration of the retry budget.
func (n *node) retryConfig() budget.Config {
	return budget.Config{
		Limit: budget.FleetLimit(n.settings.RetryFraction, n.settings.RetryBurst), FleetSize: n.relay.FleetSize, Clock: n.clock, Restarted: !n.settings.FirstStart,
		Self: n.self(), Process: startID(), Net: taggedTransport{n, tagRetries}, Log: n.logEvent,
	}
}

// registerRetryMetrics registers the state of the retry budgets by service. The counts by
// purpose are of all services.
func (n *node) registerRetryMetrics() {
	byService := func(name, help string, of func(budget.Account) float64) {
		n.metrics.GaugeVecFunc(name, help, "service", func() map[string]float64 {
			m := map[string]float64{}
			for s, a := range n.router.RetryAccounts() {
				m[s] = of(a)
			}
			return m
		})
	}
	byService("retry_fleet_size", "Instances that share the fleet's retry burst, as this instance counts them; 0 if unknown.", func(a budget.Account) float64 { return float64(a.FleetSize) })
	byService("retry_share", "This instance's part of the fleet's retry burst, in retries.", func(a budget.Account) float64 { return a.Share })
	byService("retries_held", "Retries that may be made now.", func(a budget.Account) float64 { return a.Held })
	byService("retries_capacity", "The largest number of retries that may be held.", func(a budget.Account) float64 { return a.Capacity })
	n.metrics.GaugeFunc("fleet_size_age_seconds", "Time since the number of instances that this one counts last changed; 0 if it is unknown.", func() float64 {
		return n.fleetSizeAge().Seconds()
	})
	n.metrics.GaugeVecFunc("retries_taken", "Retries since the start of the process, by purpose.", "purpose", func() map[string]float64 {
		return n.sumRetries(func(a budget.Account) budget.Counts { return a.Taken })
	})
	n.metrics.GaugeVecFunc("retries_denied", "Retries that the budget did not allow since the start of the process, by purpose.", "purpose", func() map[string]float64 {
		return n.sumRetries(func(a budget.Account) budget.Counts { return a.Denied })
	})
}

// sumRetries adds up the counts of all services by purpose.
func (n *node) sumRetries(of func(budget.Account) budget.Counts) map[string]float64 {
	m := map[string]float64{}
	for _, a := range n.router.RetryAccounts() {
		for p, c := range of(a).ByPurpose() {
			m[p] += float64(c)
		}
	}
	return m
}

// fleetSizeAge returns how long ago the number of instances that this one counts last changed;
// 0 if it is unknown.
func (n *node) fleetSizeAge() time.Duration {
	since := n.relay.FleetSizeRecord().Since()
	if since.IsZero() {
		return 0
	}
	return n.clock().Sub(since)
}

// retryLogInterval is the interval at which retry budgets are logged if they changed. What a
// killed process took after its last line is in its routed lines.
const retryLogInterval = time.Second

// logRetryBudgets logs the retry budgets of the services that had a request or retry since
// their last line.
func (n *node) logRetryBudgets() {
	accounts := n.router.RetryAccounts()
	for _, s := range slices.Sorted(maps.Keys(accounts)) {
		a, logged := accounts[s], n.loggedRetries[s]
		if a.Requests == logged.Requests && a.Taken == logged.Taken && a.Denied == logged.Denied {
			continue
		}
		n.loggedRetries[s] = a
		n.logEvent("retry_budget", "service", s, "fleet", a.FleetSize, "fleet_since", n.fleetSizeAge(), "share", a.Share, "requests", a.Requests,
			"held", a.Held, "capacity", a.Capacity, "taken", a.Taken, "denied", a.Denied)
	}
}
