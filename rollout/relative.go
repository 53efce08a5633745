package rollout

import "math"

const (
	// suspectOdds is how many times likelier than the old release's an answer of
	// the new one must be bad for the sum to grow. Unlike replicas alone make
	// it twice; a release with a third of its answers bad is at 20 times where
	// 2 in 100 are usual, and at 3 to 4 where 20 are.
	suspectOdds = 4
	// suspectLimit is where the sum finds the release bad: some 8 bad answers in
	// a row of a release that has a tenth of the requests.
	suspectLimit = 9.2
)

// relative asks of each bad answer whose it is. Where both releases are alike, the
// new one has as many of the bad answers as it has of all; whatever makes
// replicas fail, in whichever moment, does not change that, so nothing has to be
// excused. It is a cumulative sum test over bad answers, never below 0.
type relative struct{ sum float64 }

// with returns the test after the bad answers of now and old. share is the new
// release's part of the answers of this time.
func (r relative) with(now, old uint64, share float64) relative {
	if now+old == 0 {
		return r
	}
	n := math.Log(1 + share*(suspectOdds-1))
	r.sum = max(0, r.sum+float64(now)*(math.Log(suspectOdds)-n)-float64(old)*n)
	return r
}

// level is how near the test is to finding the release bad; from 1 on it has.
func (r relative) level() float64 { return r.sum / suspectLimit }
