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

func TestServiceFollowsTheWeights(t *testing.T) {
	r := route.Route{Split: []route.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.Service(fmt.Sprint("request", i))]++
	}
	if n["b"] < 800 || n["b"] > 1200 {
		t.Errorf("%d of 10000 requests went to the part with weight 10, want about 1000", n["b"])
	}
	o := route.Route{Split: []route.Part{{Service: "a"}}}
	if g := o.Service("x"); g != "a" {
		t.Errorf("a single part without a weight gives %q, want a", g)
	}
}

func TestNeedsKey(t *testing.T) {
	open, shut := route.Route{Public: true}, route.Route{}
	keyed := route.New(1, nil, nil, map[string]route.Customer{"k": {Name: "n"}}, route.Limits{})
	free := route.New(1, nil, nil, nil, route.Limits{})
	for _, c := range []struct {
		name  string
		table *route.Table
		route route.Route
		want  bool
	}{
		{"keyed", keyed, shut, true},
		{"public", keyed, open, false},
		{"no customers", free, shut, false},
	} {
		if g := c.table.NeedsKey(&c.route); g != c.want {
			t.Errorf("%s: needs a key: %t, want %t", c.name, g, c.want)
		}
	}
}
