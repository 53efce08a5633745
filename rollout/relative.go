package rollout

import "math"

// suspectOdds are how many times likelier than the old release's an answer of the
// new one must be bad for a sum to grow. Chosen, not measured. A
// release with a third of its answers bad is at 20 times and more where 2 in 100 are
// usual: then few answers are enough; and at 3 to 4 where 20 are.
var suspectOdds = [...]float64{4, 20}

// suspectLimit is where a sum finds the release bad: some 8 bad answers in a row
// of a release that has a tenth of the requests, 5 by the higher odds.
const suspectLimit = 9.2

// relative asks of each bad answer whose it is. Where both releases are alike, the
// new one has as many of the bad answers as it has of all; whatever makes
// replicas fail, in whichever moment, does not change that, so nothing has to be
// excused. It is a cumulative sum test over bad answers, never below 0, for each of
// the odds.
type relative struct{ sums [len(suspectOdds)]float64 }

// with returns the test after the bad answers of now and old. share is the new
// release's part of the answers of this time.
func (r relative) with(now, old uint64, share float64) relative {
	if now+old == 0 {
		return r
	}
	for i, o := range suspectOdds {
		n := math.Log(1 + share*(o-1))
		r.sums[i] = max(0, r.sums[i]+float64(now)*(math.Log(o)-n)-float64(old)*n)
	}
	return r
}

// level is how near the test is to finding the release bad; from 1 on it has.
func (r relative) level() float64 { return max(r.sums[0], r.sums[1]) / suspectLimit }
