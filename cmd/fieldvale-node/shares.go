package main

import (
	"strconv"
	"sync"

	"fieldvale/entry"
	"fieldvale/share"
)

// maxShareLines bounds the log lines on shares per second. In a load peak, an instance decides on
// each request of the customer at fault, a few per second in a large fleet.
const maxShareLines = 20

// shareDecidedHook returns a hook that logs and counts the decisions on requests whose customer
// is over its share.
func (n *node) shareDecidedHook() func(entry.ShareDecision) {
	demoted := n.metrics.Counter("customer_demoted_total", "Decisions to serve a request later or not to escalate it, since its customer was over its share, by customer, outcome and whether an owner decided.", "customer", "outcome", "by_owner")
	refused := n.metrics.Counter("customer_refused_total", "Requests refused since their customer was over its share, by customer and whether an owner decided.", "customer", "by_owner")
	n.metrics.GaugeVecFunc("customer_work_share", "Part of the work placed in the last 5 s in the groups that this instance owns, by customer.", "customer", n.placer.WorkShares)
	names, lines := newLabelSet(share.MaxCustomers, share.Others), &lineLimit{most: maxShareLines}
	return func(d entry.ShareDecision) {
		c, by := names.label(d.Customer), strconv.FormatBool(d.ByOwner)
		if d.Outcome == entry.ShareRefused {
			refused.WithLabelValues(c, by).Inc()
		} else {
			demoted.WithLabelValues(c, string(d.Outcome), by).Inc()
		}
		if ok, dropped := lines.allow(n.clock()); ok {
			n.logEvent("over_share", "request", d.Request, "customer", d.Customer, "service", d.Service, "share_used", d.Used, "share_fair", d.Fair, "by_owner", d.ByOwner,
				"finish", d.Finish, "left", d.Left, "retry_in", d.RetryIn, "outcome", d.Outcome, "lines_dropped", dropped)
		}
	}
}

// shareOutcome returns the outcome of a decision for the "routed" line, empty if there was none.
func shareOutcome(d *entry.ShareDecision) entry.ShareOutcome {
	if d == nil {
		return ""
	}
	return d.Outcome
}

// labelSet bounds the values of a metric label: the first ones keep their names, further ones
// share one.
type labelSet struct {
	limit  int
	others string
	mu     sync.Mutex
	known  map[string]struct{}
}

func newLabelSet(limit int, others string) *labelSet {
	return &labelSet{limit: limit, others: others, known: map[string]struct{}{}}
}

// label returns the label value for the name.
func (s *labelSet) label(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[name]; ok {
		return name
	}
	if len(s.known) >= s.limit {
		return s.others
	}
	s.known[name] = struct{}{}
	return name
}
