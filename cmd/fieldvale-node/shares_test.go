package main

import (
	"fmt"
	"testing"
	"time"
)

// Guards against logs and metrics that grow with the load or with the number of customers.
func TestShareDecisionsAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := &lineLimit{most: 3}
	for i := range 10 {
		if ok, _ := l.allow(now); ok != (i < 3) {
			t.Errorf("line %d in a second: got %t", i, ok)
		}
	}
	if ok, dropped := l.allow(now.Add(time.Second)); !ok || dropped != 7 {
		t.Errorf("in the next second: got %t with %d dropped lines, want a line with 7", ok, dropped)
	}
	s, values := newLabelSet(2, "(others)"), map[string]bool{}
	for i := range 10 {
		values[s.label(fmt.Sprint("c", i))] = true
	}
	if len(values) != 3 || s.label("c0") != "c0" || s.label("c9") != "(others)" {
		t.Errorf("got labels %v, want c0, c1 and (others)", values)
	}
}
