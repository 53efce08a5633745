package entry

import "fieldvale/means"

const (
	// remoteBaseMs is what a replica in another data centre counts for by its
	// distance, in milliseconds: the way there and back, and some.
	remoteBaseMs = 5.0
	// remoteMsPerKB is what each kB between data centres counts for, in
	// milliseconds of a replica's time: links between them are short and dear.
	// Long prompts stay near unless they would wait for long (docs/DECIDING.md).
	remoteMsPerKB = 40.0
	// maxRemotePart of the route's target is the most that it counts for: nobody
	// should be late for it.
	maxRemotePart = 0.2
	// headersKB is what the heads of a request and of its answer have, in kB.
	headersKB = 0.8
	// initialAnswerKB is what an answer is taken to have before any was seen;
	// rough, as it only lasts for the first ones.
	initialAnswerKB = 2.0
	// answerSizeWeight is of one answer in the running mean of its kind.
	answerSizeWeight = 0.05
	// againTimes the shared part's time, and againPerToken in milliseconds, is
	// what reading it again counts for on top of its time. The first is what it
	// takes from other prompts; the second is its price, the same for a small
	// model that reads it in no time (docs/DECIDING.md).
	reprefillFactor     = 2.0
	reprefillMsPerToken = 0.1
)

// answerSizes learns how many kB answers have, by route.
type answerSizes struct{ means *means.Means }

func newAnswerSizes() *answerSizes { return &answerSizes{means: means.New(answerSizeWeight)} }

// of returns the kB of an answer of the route.
func (s *answerSizes) of(route string) float64 { return s.means.Of(route, initialAnswerKB) }

// saw learns from a whole answer.
func (s *answerSizes) observe(route string, bytes int) {
	s.means.Learn(route, initialAnswerKB, func(float64) float64 { return float64(bytes) / 1000 })
}

// away is what a replica in another data centre counts for, in milliseconds.
func (w *forwarding) remotePenaltyMs() float64 {
	kB := float64(len(w.q.Body))/1000 + headersKB + w.r.answerSizes.of(w.q.Route.Name)
	x := remoteBaseMs + remoteMsPerKB*kB
	if t := w.q.Route.Target; t > 0 {
		x = min(x, maxRemotePart*t.Seconds()*1000)
	}
	return x
}

// readAgain is what reading so many shared tokens counts for on top of their
// time, in milliseconds, at the speed of milliseconds a token.
func reprefillPenaltyMs(tokens int, speed float64) float64 {
	return (reprefillFactor*speed + reprefillMsPerToken) * float64(tokens)
}
