package entry

import "fieldvale/means"

const (
	// remoteBaseMs is the cost added for a replica in another data centre, in milliseconds: the
	// round trip and a margin.
	remoteBaseMs = 5.0
	// remoteMsPerKB is the cost for each kB sent between data centres, in milliseconds of a
	// replica's time, as these links have little capacity and are expensive. Long prompts stay in
	// their data centre unless they would wait there for long (docs/DECIDING.md).
	remoteMsPerKB = 40.0
	// maxRemotePart bounds the cost to a part of the route's target, so that no request misses
	// its target for it.
	maxRemotePart = 0.2
	// headersKB is the size of the headers of a request and its answer, in kB.
	headersKB = 0.8
	// initialAnswerKB is the assumed size of an answer before the first one of its route. It is a
	// rough value, used for the first answers only.
	initialAnswerKB = 2.0
	// answerSizeWeight is the weight of one answer in its route's running mean.
	answerSizeWeight = 0.05
	// Reading a shared part again costs reprefillFactor times its reading time, for the time
	// taken from other prompts, plus reprefillMsPerToken for each token. The latter is a price
	// that also applies to small models, which read the part in almost no time
	// (docs/DECIDING.md).
	reprefillFactor     = 2.0
	reprefillMsPerToken = 0.1
)

// answerSizes averages the sizes of answers by route, in kB.
type answerSizes struct{ means *means.RunningMeans }

func newAnswerSizes() *answerSizes { return &answerSizes{means: means.New(answerSizeWeight)} }

// of returns the mean size of the route's answers, in kB.
func (s *answerSizes) of(route string) float64 { return s.means.Get(route, initialAnswerKB) }

// observe records the size of a complete answer.
func (s *answerSizes) observe(route string, bytes int) {
	s.means.Update(route, initialAnswerKB, func(float64) float64 { return float64(bytes) / 1000 })
}

// remotePenaltyMs is the cost added to replicas in other data centres, in milliseconds.
func (w *forwarding) remotePenaltyMs() float64 {
	kB := float64(len(w.q.Body))/1000 + headersKB + w.r.answerSizes.of(w.q.Route.Name)
	x := remoteBaseMs + remoteMsPerKB*kB
	if t := w.q.Route.Target; t > 0 {
		x = min(x, maxRemotePart*t.Seconds()*1000)
	}
	return x
}

// reprefillPenaltyMs is the cost of reading shared tokens again, on top of the reading time, in
// milliseconds. speed is the time for one token.
func reprefillPenaltyMs(tokens int, speed float64) float64 {
	return (reprefillFactor*speed + reprefillMsPerToken) * float64(tokens)
}
