package entry

import "fieldvale/means"

const (
	// awayTrip is what a replica in another data centre counts for by its
	// distance, in milliseconds: the way there and back, and some.
	awayTrip = 5.0
	// awayPerKB is what each kB between data centres counts for, in
	// milliseconds of a replica's time: links between them are short and dear.
	// Long prompts stay near unless they would wait for long (docs/DECIDING.md).
	awayPerKB = 40.0
	// awayPart of the route's target is the most that it counts for: nobody
	// should be late for it.
	awayPart = 0.2
	// headKB is what the heads of a request and of its answer have, in kB.
	headKB = 0.8
	// firstAnswerKB is what an answer is taken to have before any was seen;
	// rough, as it only lasts for the first ones.
	firstAnswerKB = 2.0
	// answerWeight is of one answer in the running mean of its kind.
	answerWeight = 0.05
	// againTimes the shared part's time, and againPerToken in milliseconds, is
	// what reading it again counts for on top of its time. The first is what it
	// takes from other prompts; the second is its price, the same for a small
	// model that reads it in no time (docs/DECIDING.md).
	againTimes    = 2.0
	againPerToken = 0.1
)

// answerSizes learns how many kB answers have, by route.
type answerSizes struct{ m *means.Means }

func newAnswerSizes() *answerSizes { return &answerSizes{m: means.New(answerWeight)} }

// of returns the kB of an answer of the route.
func (s *answerSizes) of(route string) float64 { return s.m.Of(route, firstAnswerKB) }

// saw learns from a whole answer.
func (s *answerSizes) saw(route string, bytes int) {
	s.m.Learn(route, firstAnswerKB, func(float64) float64 { return float64(bytes) / 1000 })
}

// away is what a replica in another data centre counts for, in milliseconds.
func (w *forwarding) away() float64 {
	kB := float64(len(w.q.Body))/1000 + headKB + w.r.answers.of(w.q.Route.Name)
	x := awayTrip + awayPerKB*kB
	if t := w.q.Route.Target; t > 0 {
		x = min(x, awayPart*t.Seconds()*1000)
	}
	return x
}

// readAgain is what reading so many shared tokens counts for on top of their
// time, in milliseconds, at the speed of milliseconds a token.
func readAgain(tokens int, speed float64) float64 {
	return (againTimes*speed + againPerToken) * float64(tokens)
}
