package pool

import "math/rand/v2"

// reportedLoad is the load of the replica by reports, if this instance sent it so many more requests:
// the requests of all instances per slot, times the slowness.
func (c Candidate) reportedLoad(more int) float64 {
	slots := c.Reported.Slots
	if slots == 0 {
		slots = max(1, c.Replica.Slots)
	}
	return (c.Reported.OthersPerSlot + float64(c.Local+more)/float64(slots)) * c.Reported.Slowness
}

// loadWithRequest is the load that TwoChoices compares. By reports it includes the new request, as
// the slowness of an idle replica would not count otherwise.
func (c Candidate) loadWithRequest() float64 {
	if c.HasReported {
		return c.reportedLoad(1)
	}
	return c.LoadPerSlot()
}

// ReportedWork chooses among replicas by reported load, expressed as time. Two candidates are
// drawn at random and the better one is taken: if each instance took the best of all, all instances
// that know of an idle replica would send their requests there until its next report.
type ReportedWork struct {
	// SlackMs is by how many milliseconds the work at a replica that has the prefix cached may
	// exceed that at the better one of the two.
	SlackMs float64
}

// workMs is the expected time until the replica has done a new request and the others there, in
// milliseconds, plus the cost of its distance.
func (c Candidate) workMs(slotMs float64) float64 {
	return c.reportedLoad(1)*slotMs + c.PendingMs*c.Reported.Slowness + c.RemotePenaltyMs
}

// Pick implements Rule. The two candidates are drawn in this instance's data centre. Where there are
// others, one of them is drawn in addition, which has to be better by the cost of its distance.
func (o ReportedWork) Pick(q Request, c []Candidate, r *rand.Rand) int {
	chosen := o.pickOfTwo(q, c, r)
	if q.AffinityKey == "" {
		return chosen
	}
	bound := c[chosen].workMs(q.SlotMs) + o.SlackMs
	first, second := twoHighest(q.AffinityKey, c)
	for _, i := range []int{first, second} {
		if c[i].workMs(q.SlotMs) <= bound {
			return i
		}
	}
	return chosen
}

func (o ReportedWork) pickOfTwo(q Request, c []Candidate, r *rand.Rand) int {
	near := 0
	for _, x := range c {
		if x.RemotePenaltyMs == 0 {
			near++
		}
	}
	if near == 0 || near == len(c) {
		return lessWork(q, c, drawTwo(len(c), r))
	}
	two := drawTwo(near, r)
	i := lessWork(q, c, [2]int{nth(c, two[0], true), nth(c, two[1], true)})
	return lessWork(q, c, [2]int{i, nth(c, r.IntN(len(c)-near), false)})
}

// drawTwo draws two different numbers below n, or twice 0 if n is 1.
func drawTwo(n int, r *rand.Rand) [2]int {
	if n == 1 {
		return [2]int{}
	}
	i, j := r.IntN(n), r.IntN(n-1)
	if j >= i {
		j++
	}
	return [2]int{i, j}
}

// lessWork returns the one of two candidates with less work, the first one if they are equal.
func lessWork(q Request, c []Candidate, i [2]int) int {
	if c[i[1]].workMs(q.SlotMs) < c[i[0]].workMs(q.SlotMs) {
		return i[1]
	}
	return i[0]
}

// nth returns the index of the candidate with number n among those that are near, or that are not.
func nth(c []Candidate, n int, near bool) int {
	for i, x := range c {
		if (x.RemotePenaltyMs == 0) != near {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return 0
}
