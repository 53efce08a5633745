package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/route"
)

// The next model is tried first where its chance of a right answer exceeds its share of the
// largest model's cost.
func Example_nextModelBounds() {
	for _, c := range []struct{ gain, share float64 }{{15, 0.5}, {45, 0.5}, {2, 0.5}, {15, 0.25}, {15, 0.9}} {
		b := nextModelBoundsFor(c.gain, c.share)
		fmt.Printf("gain %.0f, share %.2f: first from %.0f, at all from %.0f\n", c.gain, c.share, b.askFirst, b.askAtAll)
	}
	// Output:
	// gain 15, share 0.50: first from 44, at all from 25
	// gain 45, share 0.50: first from 14, at all from -5
	// gain 2, share 0.50: first from 57, at all from 38
	// gain 15, share 0.25: first from 37, at all from 25
	// gain 15, share 0.90: first from 57, at all from 25
}

func TestCostShare(t *testing.T) {
	s := route.Service{Models: []route.Model{{Name: "m", Cost: 0.06}, {Name: "l", Cost: 0.12}}}
	if g := costShare(s, "m", "l"); g != 0.5 {
		t.Errorf("share %f, want 0.5", g)
	}
	if g := costShare(s, "m", "unknown"); g != defaultCostShare {
		t.Errorf("share for an unknown cost %f, want %f", g, defaultCostShare)
	}
}

// A gain far above the initial assumption is learned from a few requests that both models
// answered.
func TestGainsAreLearnedQuickly(t *testing.T) {
	l := newConfidenceGains()
	if g := l.of("s/m"); g != initialGain {
		t.Errorf("gain %.1f before any observation, want %.1f", g, initialGain)
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 8 {
		l.observe("s/m", 50, 95+10*r.Float64()-5)
	}
	if g := l.of("s/m"); g < 33 {
		t.Errorf("gain %.1f after 8 observations of 45, want at least 33", g)
	}
}

// An answer is recorded once, and only if the next smaller model answered before.
func TestGainIsRecordedOncePerAnswer(t *testing.T) {
	r := NewRouter(Ports{View: NewCurrentView(), Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	w := &forwarding{r: r, q: &OpaqueRequest{Route: &route.Route{Models: []string{"s", "m", "l"}}}, result: &ForwardResult{Service: "x", Confidence: 50}, modelIndex: 2, escalatedFrom: 0}
	w.learnGain(100)
	if g := r.confidenceGains.of("x/l"); g != initialGain {
		t.Errorf("gain %.1f after an answer that followed the smallest model's, want %.1f", g, initialGain)
	}
	w.modelIndex, w.escalatedFrom = 1, 0
	w.learnGain(90)
	g := r.confidenceGains.of("x/m")
	if g <= initialGain {
		t.Errorf("gain %.1f after one observation of 40, want more than %.1f", g, initialGain)
	}
	w.learnGain(90)
	if again := r.confidenceGains.of("x/m"); again != g {
		t.Errorf("gain %.1f after recording the same answer again, want %.1f", again, g)
	}
}
