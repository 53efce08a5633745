package cascade

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The next model is tried first where its chance of a right answer exceeds its share of the
// largest model's cost.
func ExampleNewNextModelBounds() {
	for _, c := range []struct{ gain, share float64 }{{15, 0.5}, {45, 0.5}, {2, 0.5}, {15, 0.25}, {15, 0.9}} {
		b := NewNextModelBounds(c.gain, c.share)
		fmt.Printf("gain %.0f, share %.2f: first from %.0f, at all from %.0f\n", c.gain, c.share, b.AskFirst, b.AskAtAll)
	}
	// Output:
	// gain 15, share 0.50: first from 44, at all from 25
	// gain 45, share 0.50: first from 14, at all from -5
	// gain 2, share 0.50: first from 57, at all from 38
	// gain 15, share 0.25: first from 37, at all from 25
	// gain 15, share 0.90: first from 57, at all from 25
}

// A gain far above the initial assumption is learned from a few requests that both models
// answered.
func TestGainsAreLearnedQuickly(t *testing.T) {
	l := NewGains()
	if g := l.Of("s/m"); g != initialGain {
		t.Errorf("gain %.1f before any observation, want %.1f", g, initialGain)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 8 {
		l.Observe("s/m", 50, 95+10*r.Float64()-5)
	}
	if g := l.Of("s/m"); g < 33 {
		t.Errorf("gain %.1f after 8 observations of 45, want at least 33", g)
	}
}
