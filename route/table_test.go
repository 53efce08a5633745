package route_test

import (
	"fmt"
	"testing"

	"fieldvale/route"
)

func ExampleTable_Find() {
	t := route.New(1, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, nil, route.Limits{})
	for _, p := range []string{"/x/y/z", "/x/yy", "/x/y"} {
		r, _ := t.Find("A.example", p)
		fmt.Println(p, r.Name)
	}
	_, ok := t.Find("b.example", "/")
	fmt.Println(ok)
	// Output:
	// /x/y/z deep
	// /x/yy all
	// /x/y all
	// false
}

// Traffic must be divided by the configured weights. A split with one service that
// has no weight must send everything there instead of dividing by zero.
func TestServiceFollowsWeights(t *testing.T) {
	r := route.Route{Split: []route.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.SelectService(fmt.Sprint("request", i))]++
	}
	if n["b"] < 800 || n["b"] > 1200 {
		t.Errorf("got %d of 10000 requests for the service with weight 10, want 800 to 1200", n["b"])
	}
	single := route.Route{Split: []route.WeightedService{{Service: "a"}}}
	if g := single.SelectService("x"); g != "a" {
		t.Errorf("got service %q for a split of one service without a weight, want a", g)
	}
}

func TestNeedsKey(t *testing.T) {
	publicRoute, privateRoute := route.Route{Public: true}, route.Route{}
	withKeys := route.New(1, nil, nil, map[string]route.Customer{"k": {Name: "n"}}, route.Limits{})
	withoutKeys := route.New(1, nil, nil, nil, route.Limits{})
	for _, c := range []struct {
		name  string
		table *route.Table
		route route.Route
		want  bool
	}{
		{"private route, keys configured", withKeys, privateRoute, true},
		{"public route, keys configured", withKeys, publicRoute, false},
		{"private route, no keys configured", withoutKeys, privateRoute, false},
	} {
		if g := c.table.NeedsKey(&c.route); g != c.want {
			t.Errorf("%s: got NeedsKey %t, want %t", c.name, g, c.want)
		}
	}
}
