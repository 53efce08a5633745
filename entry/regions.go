package entry

import (
	"slices"

	"fieldvale/pool"
)

// inAllowedRegions returns the replicas in regions that both the route and the customer allow. A
// data centre without a configured region belongs to none.
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

// allowsRegion reports whether the list contains the region. An empty list allows all.
func allowsRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
