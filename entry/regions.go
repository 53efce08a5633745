package entry

import (
	"slices"

	"fieldvale/pool"
)

// inRegions returns the replicas in whose region both the route and the customer let
// the request run. A data centre of which no region is known lies in none.
func (w *forwarding) inAllowedRegions(l []*pool.Replica) []*pool.Replica {
	route, customer := w.q.Route.Regions, w.q.Customer.Regions
	if len(route)+len(customer) == 0 {
		return l
	}
	var n []*pool.Replica
	for _, r := range l {
		region, ok := w.r.regions[r.DataCentre]
		if ok && allowsRegion(route, region) && allowsRegion(customer, region) {
			n = append(n, r)
		}
	}
	return n
}

// allows reports whether the regions, none of which allow all, have this one.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
