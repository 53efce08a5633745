package rollout

import "math"

// badOdds are the factors by which an answer of the new release must be likelier to
// be bad than one of the old release for a sum of the test to grow. If a third of a
// release's answers are bad, the factor is 20 or more where 2 in 100 are usual, so
// that few answers are enough to find it, and 3 to 4 where 20 in 100 are usual.
var badOdds = [...]float64{4, 20}

// badShareLimit is the sum at which the release is found bad: some 8 bad answers in
// a row of a release that has a tenth of the requests, 5 by the higher odds.
const badShareLimit = 9.2

// badShareTest tests whether the new release gives more than its share of the bad
// answers. If both releases are alike, the new one gives the same share of the bad
// answers as of all answers. A fault that affects replicas of both releases does not
// change that at any time, so no fault has to be excused. It is a cumulative sum
// test over the bad answers, never below 0, with one sum for each of badOdds.
type badShareTest struct{ sums [len(badOdds)]float64 }

// with returns the test after further bad answers of the new and the old release.
// share is the new release's fraction of all answers in the same period.
func (r badShareTest) with(newBad, oldBad uint64, share float64) badShareTest {
	if newBad+oldBad == 0 {
		return r
	}
	for i, o := range badOdds {
		n := math.Log(1 + share*(o-1))
		r.sums[i] = max(0, r.sums[i]+float64(newBad)*(math.Log(o)-n)-float64(oldBad)*n)
	}
	return r
}

// level is how near the test is to finding the release bad; it has from 1 on.
func (r badShareTest) level() float64 { return max(r.sums[0], r.sums[1]) / badShareLimit }
