package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fieldvale/placement"
)

// playedRequest is a request of a played load.
type playedRequest struct {
	arrivesAt    time.Time
	kind         int
	pace         float64
	promptTokens float64
	// outputTokens are generated; hintTokens is the estimate that the owner gets.
	outputTokens, hintTokens float64

	ticket uint64
	endsAt time.Time
}

// playedReplica is a fake engine. Each of its steps generates one token for every stream
// and prefills one chunk of the first prompt that waits.
type playedReplica struct {
	speed   float64
	freeAt  time.Time
	prompts []*playedStream
	streams []*playedStream
}

// playedStream is a request at a replica, with what is left of it.
type playedStream struct {
	*playedRequest
	prompt, output float64
}

// chunkTokens is the size of the chunks in which prompts are prefilled.
const chunkTokens = 512

// add queues a request.
func (p *playedReplica) add(r *playedRequest) {
	if len(p.prompts)+len(p.streams) == 0 && p.freeAt.Before(r.arrivesAt) {
		p.freeAt = r.arrivesAt
	}
	p.prompts = append(p.prompts, &playedStream{r, r.promptTokens, r.outputTokens})
}

// step performs the next step and reports to the tracker what it completes.
func (p *playedReplica) step(l *placement.LoadTracker) {
	ms := 3.5
	for _, s := range p.streams {
		ms += 6 * s.pace
		s.output--
	}
	var first *playedStream
	if len(p.prompts) > 0 {
		first = p.prompts[0]
		chunk := min(first.prompt, chunkTokens)
		first.prompt -= chunk
		ms += chunk * first.pace
	}
	p.freeAt = p.freeAt.Add(time.Duration(p.speed * ms * float64(time.Millisecond)))
	p.streams = slices.DeleteFunc(p.streams, func(s *playedStream) bool {
		if s.output > 0 {
			return false
		}
		s.endsAt = p.freeAt
		l.Ended(s.ticket)
		return true
	})
	if first != nil && first.prompt == 0 {
		p.prompts = p.prompts[1:]
		p.streams = append(p.streams, first)
		l.Prefilled(first.ticket, p.freeAt)
	}
}

// playedKinds are the kinds of requests: their prompts, the median and the largest number
// of events, their share of all requests and the time for which one held its slot.
var playedKinds = []struct {
	promptTokens, events, maxEvents, share, slotMs float64
}{{12_000, 42, 124, 0.2, 3150}, {830, 32, 106, 0.5, 2400}, {2_400, 3, 10, 0.3, 225}}

// playedRequests returns the arrivals of a minute: bursts of three at a mean rate per
// second that swings by 0.55 within 15 s.
func playedRequests(rate float64, rnd *rand.Rand) []*playedRequest {
	const tokensPerEvent = 9
	var l []*playedRequest
	for at := 0.0; at < 60; {
		at += 3 * rnd.ExpFloat64() / (rate * (1 + 0.55*math.Sin(2*math.Pi*at/15)))
		for range 3 {
			r := &playedRequest{arrivesAt: noon.Add(time.Duration(at * float64(time.Second)))}
			for x := rnd.Float64(); r.kind < 2 && x >= playedKinds[r.kind].share; r.kind++ {
				x -= playedKinds[r.kind].share
			}
			k := playedKinds[r.kind]
			r.pace = []float64{0.008, 0.008, 0.008, 0.025, 0.077}[rnd.IntN(5)]
			r.promptTokens = k.promptTokens
			r.outputTokens = tokensPerEvent * min(k.maxEvents, math.Ceil(k.events*math.Exp(0.5*rnd.NormFloat64())))
			r.hintTokens = r.outputTokens * math.Exp(0.3*rnd.NormFloat64())
			l = append(l, r)
		}
	}
	return l
}

// play places the requests on 15 replicas and returns, by kind, the times to the last
// event in ms.
func play(requests []*playedRequest, byCompletion bool) [3][]float64 {
	l := placement.NewLoadTracker(0)
	ids := replicaIDs(0, 15)
	var replicas []*playedReplica
	for i := range ids {
		replicas = append(replicas, &playedReplica{speed: []float64{1, 1, 1.3}[i%3]})
	}
	var took [3][]float64
	finish := func(until time.Time) {
		for _, p := range replicas {
			for len(p.prompts)+len(p.streams) > 0 && p.freeAt.Before(until) {
				p.step(l)
			}
		}
	}
	for i, r := range requests {
		finish(r.arrivesAt)
		q := placement.Request{UnsharedMs: r.promptTokens * r.pace, SlotMs: playedKinds[r.kind].slotMs}
		// Each request has an order of preference of its own, as by its key.
		q.Replicas = append(slices.Clone(ids[i%len(ids):]), ids[:i%len(ids)]...)
		if byCompletion {
			q.ByCompletion, q.Pace, q.OutputTokens = true, r.pace, r.hintTokens
			q.MemoryTokens, q.ReplicaMemoryTokens = r.promptTokens+r.hintTokens, 367_460
		}
		c := l.Choose(q, r.arrivesAt)
		r.ticket = c.Ticket
		replicas[(i+c.Index)%len(ids)].add(r)
	}
	finish(noon.Add(time.Hour))
	for _, r := range requests {
		took[r.kind] = append(took[r.kind], r.endsAt.Sub(r.arrivesAt).Seconds()*1000)
	}
	return took
}

// waits are the mean and the 90th percentile of times to the last event, in ms.
type waits struct{ mean, p90 float64 }

func waitsOf(l []float64) waits {
	l = slices.Sorted(slices.Values(l))
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	return waits{sum / float64(len(l)), l[len(l)*9/10]}
}

// Guards against placement by completion that makes callers of any kind wait longer for
// their complete answers than placement by prefill does, or that gains little in total,
// under an oscillating load on replicas of different speed. The rates leave room, fill
// the replicas at the peak, and exceed them there.
func TestPlacementByCompletionServesCallersBetter(t *testing.T) {
	for _, rate := range []float64{40, 50, 65, 75} {
		t.Run(fmt.Sprintf("%.0f per second", rate), func(t *testing.T) {
			var took [2][3][]float64
			for seed := range uint64(3) {
				for i, byCompletion := range []bool{false, true} {
					for kind, l := range play(playedRequests(rate, rand.New(rand.NewPCG(seed, 1))), byCompletion) {
						took[i][kind] = append(took[i][kind], l...)
					}
				}
			}
			for kind := range playedKinds {
				byPrefill, byCompletion := waitsOf(took[0][kind]), waitsOf(took[1][kind])
				t.Logf("kind %d: %.0f by prefill, %.0f by completion", kind, byPrefill, byCompletion)
				if byCompletion.mean > byPrefill.mean || byCompletion.p90 > byPrefill.p90 {
					t.Errorf("kind %d: got %.0f ms by completion, want at most the %.0f ms by prefill", kind, byCompletion, byPrefill)
				}
			}
			byPrefill, byCompletion := waitsOf(slices.Concat(took[0][:]...)), waitsOf(slices.Concat(took[1][:]...))
			t.Logf("all: %.0f by prefill, %.0f by completion", byPrefill, byCompletion)
			if byCompletion.mean > 0.9*byPrefill.mean || byCompletion.p90 > 0.9*byPrefill.p90 {
				t.Errorf("all kinds: got %.0f ms by completion, want at most 0.9 of the %.0f ms by prefill", byCompletion, byPrefill)
			}
		})
	}
}
