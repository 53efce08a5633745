package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"fieldvale/prompt"
	"fieldvale/route"
)

// The penalty for another data centre counts the bytes sent between them: the body and the mean
// size of the route's answers.
func TestRemotePenaltyCountsBytes(t *testing.T) {
	r := NewRouter(Ports{View: NewCurrentView(), Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	away := func(name string, body int) float64 {
		return (&forwarding{r: r, q: &OpaqueRequest{Route: &route.Route{Name: name}, Body: make([]byte, body)}}).remotePenaltyMs()
	}
	small, large := away("a", 1_000), away("a", 18_000)
	if d := large - small; d < 17*remoteMsPerKB-1 || d > 17*remoteMsPerKB+1 {
		t.Errorf("17 kB more add %.0f ms, want %.0f", d, 17*remoteMsPerKB)
	}
	for range 200 {
		r.answerSizes.observe("b", 12_000)
	}
	if d := away("b", 1_000) - small; d < 9*remoteMsPerKB || d > 11*remoteMsPerKB {
		t.Errorf("answers of 12 kB add %.0f ms, want about %.0f", d, 10*remoteMsPerKB)
	}
}

// Reading a shared part again has a price per token, even for a model that reads it in almost no
// time.
func TestReprefillPenaltyCountsTokens(t *testing.T) {
	const tokens = 10_000
	quick, slow := reprefillPenaltyMs(tokens, 0.008), reprefillPenaltyMs(tokens, 0.08)
	if quick < tokens*reprefillMsPerToken {
		t.Errorf("penalty %.0f ms, want at least %.0f", quick, tokens*reprefillMsPerToken)
	}
	if d, want := slow-quick, reprefillFactor*720.0; d < want-1 || d > want+1 {
		t.Errorf("720 ms more of reading add %.0f ms, want %.0f", d, want)
	}
}

// Each shared part of the estimate is identified by the model and the part's last id.
func TestEstimatePartKeys(t *testing.T) {
	r := NewRouter(Ports{View: NewCurrentView(), Clock: time.Now, Rand: rand.NewPCG(1, 1)})
	q := &OpaqueRequest{Table: route.New(1, nil, nil, nil, route.Limits{}), Route: &route.Route{}, Prompt: prompt.Prompt{Model: "m", InputTokens: 350, Parts: []prompt.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}, {ID: "own", Tokens: 50}}}}
	e := (&forwarding{r: r, q: q, result: &ForwardResult{Service: "s"}, modelIndex: -1}).estimatePrompt()
	if e.affinityKey != "m/b" || len(e.shared) != 2 || e.shared[0].Key != "m/a" || e.shared[1].Key != "m/b" {
		t.Errorf("key %q, parts %+v, want m/b of m/a and m/b", e.affinityKey, e.shared)
	}
	if want := 50 * e.msPerToken; e.unsharedMs < want-1e-9 || e.unsharedMs > want+1e-9 {
		t.Errorf("%f ms for the unshared part, want %f", e.unsharedMs, want)
	}
}
