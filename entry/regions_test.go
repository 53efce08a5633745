package entry

import (
	"strings"
	"testing"

	"fieldvale/pool"
	"fieldvale/route"
)

// If route and customer both list regions, both apply. A data centre without a configured region
// serves neither.
func TestRequestsStayInTheirRegions(t *testing.T) {
	all := []*pool.Replica{{ID: "n1", DataCentre: "a"}, {ID: "n2", DataCentre: "b"}, {ID: "s", DataCentre: "c"}, {ID: "unknown", DataCentre: "d"}}
	r := &Router{regions: map[string]string{"a": "north", "b": "north", "c": "south"}}
	for _, c := range []struct{ route, customer, want string }{
		{"", "", "n1 n2 s unknown"},
		{"north", "", "n1 n2"},
		{"", "south", "s"},
		{"north south", "south", "s"},
		{"north", "south", ""},
		{"west", "", ""},
	} {
		w := &forwarding{r: r, q: &OpaqueRequest{Route: &route.Route{Regions: strings.Fields(c.route)}, Customer: route.Customer{Regions: strings.Fields(c.customer)}}}
		var got []string
		for _, x := range w.inAllowedRegions(all) {
			got = append(got, x.ID)
		}
		if g := strings.Join(got, " "); g != c.want {
			t.Errorf("route %q, customer %q: %q, want %q", c.route, c.customer, g, c.want)
		}
	}
}
