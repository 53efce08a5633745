package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/route"
)

func TestCostShare(t *testing.T) {
	s := route.Service{Models: []route.Model{{Name: "m", Cost: 0.06}, {Name: "l", Cost: 0.12}}}
	if g := costShare(s, "m", "l"); g != 0.5 {
		t.Errorf("share %f, want 0.5", g)
	}
	if g := costShare(s, "m", "unknown"); g != defaultCostShare {
		t.Errorf("share for an unknown cost %f, want %f", g, defaultCostShare)
	}
}

// An answer is recorded once, and only if the next smaller model answered before.
func TestGainIsRecordedOncePerAnswer(t *testing.T) {
	r := NewRouter(Ports{View: NewCurrentView(), Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	initialGain := r.confidenceGains.Of("unknown")
	w := &forwarding{r: r, q: &OpaqueRequest{Route: &route.Route{Models: []string{"s", "m", "l"}}}, result: &ForwardResult{Service: "x", Confidence: 50}, modelIndex: 2, escalatedFrom: 0}
	w.learnGain(100)
	if g := r.confidenceGains.Of("x/l"); g != initialGain {
		t.Errorf("gain %.1f after an answer that followed the smallest model's, want %.1f", g, initialGain)
	}
	w.modelIndex, w.escalatedFrom = 1, 0
	w.learnGain(90)
	g := r.confidenceGains.Of("x/m")
	if g <= initialGain {
		t.Errorf("gain %.1f after one observation of 40, want more than %.1f", g, initialGain)
	}
	w.learnGain(90)
	if again := r.confidenceGains.Of("x/m"); again != g {
		t.Errorf("gain %.1f after recording the same answer again, want %.1f", again, g)
	}
}
