package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/prompt"
	"fieldvale/route"
)

// What crosses between data centres counts by its bytes: the body and what
// answers of the route have had so far.
func TestAwayCountsBytes(t *testing.T) {
	r := NewRouter(Ports{View: NewCurrent(), Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	away := func(name string, body int) float64 {
		return (&forwarding{r: r, q: &Opaque{Route: &route.Route{Name: name}, Body: make([]byte, body)}}).away()
	}
	small, large := away("a", 1_000), away("a", 18_000)
	if d := large - small; d < 17*awayPerKB-1 || d > 17*awayPerKB+1 {
		t.Errorf("17 kB more count for %.0f ms more, want %.0f", d, 17*awayPerKB)
	}
	for range 200 {
		r.answers.saw("b", 12_000)
	}
	if d := away("b", 1_000) - small; d < 9*awayPerKB || d > 11*awayPerKB {
		t.Errorf("answers of 12 kB count for %.0f ms more, want about %.0f", d, 10*awayPerKB)
	}
}

// Reading a shared part again has a price by its tokens, also where the model
// reads it in no time.
func TestReadingAgainCountsTokens(t *testing.T) {
	q := &Opaque{Prompt: prompt.Prompt{Parts: []prompt.Part{{ID: "s", Tokens: 10_000}, {ID: "own", Tokens: 50}}}}
	w := &forwarding{q: q}
	quick, slow := w.readAgain(estimate{shared: 80}), w.readAgain(estimate{shared: 800})
	if quick < 10_000*againPerToken {
		t.Errorf("%.0f ms, want %.0f at least", quick, 10_000*againPerToken)
	}
	if d := slow - quick; d != againTimes*720 {
		t.Errorf("720 ms of reading more count for %.0f ms more, want %.0f", d, againTimes*720)
	}
}
