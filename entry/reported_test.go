package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fieldvale/load"
	"fieldvale/pool"
)

const (
	playSlots   = 6
	playCallers = 133
	// playWorkMs is the mean time of a request at the usual speed. playRate is the arrivals in one
	// ms, three quarters of what the replicas can do without spells.
	playWorkMs = 60
	playRate   = 0.75 * 3 * playSlots / playWorkMs
	playMs     = 40_000
	// In spellMs of each spellPeriodMs the first replica is 2.5 times slower.
	spellMs, spellPeriodMs = 600, 2000
	spellSlowness          = 2.5
	// playHistory is how many ms of the past states are kept.
	playHistory = 1024
)

// playedJob is a request at a played replica, with the work that is left in ms.
type playedJob struct {
	caller, arrived int
	left            float64
}

// playState is what the replicas would report at one ms, and what callers have there.
type playState struct {
	reports [3]load.Report
	own     [playCallers][3]int
}

// play is a plain service of three replicas with callers that know only their own requests and the
// reports. It runs in steps of one ms.
type play struct {
	jobs    [3][]playedJob
	callers [playCallers]*backends
	own     [playCallers][3]int
	history []playState
	now     int
	tookMs  []int
}

func (p *play) at(ms int) time.Time { return time.UnixMilli(1_700_000_000_000 + int64(ms)) }

func (p *play) slowness(replica int) float64 {
	if replica == 0 && p.now%spellPeriodMs < spellMs {
		return spellSlowness
	}
	return 1
}

var playReplicas = []*pool.Replica{{ID: "0", Service: "s", Slots: playSlots}, {ID: "1", Service: "s", Slots: playSlots}, {ID: "2", Service: "s", Slots: playSlots}}

func (p *play) report(replica int) load.Report {
	n := len(p.jobs[replica])
	return load.Report{Running: min(n, playSlots), Waiting: max(0, n-playSlots), Slots: playSlots, Slowness: p.slowness(replica)}
}

// observe has the caller learn the report of a replica from that many ms ago.
func (p *play) observe(caller, replica, ageMs int) {
	x := p.history[max(0, p.now-ageMs)%playHistory]
	b := p.callers[caller]
	b.loads.CountOwn(func(string) int { return x.own[caller][replica] })
	t := p.at(p.now - ageMs)
	b.loads.Observe(load.Sample{Report: x.reports[replica], Replica: playReplicas[replica].ID, SentAt: t, ReceivedAt: t})
}

// run plays the load. ageMs is the age of the reports of all replicas that each caller has at each
// choice; noReports for none, answersOnly for the reports in the caller's own answers.
func (p *play) run(ageMs int) *play {
	r := rand.New(rand.NewPCG(7, 7))
	p.history = make([]playState, playHistory)
	for c := range p.callers {
		p.callers[c] = newBackends(rand.NewPCG(uint64(c), 1), nil)
		p.callers[c].loads = load.NewTracker(func() time.Time { return p.at(p.now) }, nil, load.Hooks{})
	}
	for p.now = 0; p.now < playMs; p.now++ {
		for i := range p.jobs {
			p.serve(i, ageMs)
		}
		x := &p.history[p.now%playHistory]
		x.own = p.own
		for i := range p.jobs {
			x.reports[i] = p.report(i)
		}
		for left := r.ExpFloat64(); left < playRate; left += r.ExpFloat64() {
			p.arrive(r.IntN(playCallers), r.ExpFloat64()*playWorkMs, ageMs)
		}
	}
	slices.Sort(p.tookMs)
	return p
}

const (
	noReports   = -1
	answersOnly = -2
)

func (p *play) arrive(caller int, work float64, ageMs int) {
	if ageMs >= 0 {
		for i := range p.jobs {
			p.observe(caller, i, ageMs)
		}
	}
	b := p.callers[caller].takeOpaque(playReplicas, localRequest{costMs: 1, slotMs: playWorkMs}, nil, p.at(p.now))
	p.callers[caller].promptRead(b.ID, 1)
	i := int(b.ID[0] - '0')
	p.jobs[i] = append(p.jobs[i], playedJob{caller, p.now, work})
	p.own[caller][i]++
}

func (p *play) serve(replica, ageMs int) {
	l := p.jobs[replica]
	for j := range min(len(l), playSlots) {
		l[j].left -= 1 / p.slowness(replica)
	}
	var done []playedJob
	p.jobs[replica] = slices.DeleteFunc(l, func(x playedJob) bool {
		if x.left <= 0 {
			done = append(done, x)
		}
		return x.left <= 0
	})
	for _, x := range done {
		p.tookMs = append(p.tookMs, p.now-x.arrived)
		if ageMs == answersOnly {
			p.observe(x.caller, replica, 1)
		}
		p.own[x.caller][replica]--
		p.callers[x.caller].doneOpaque(playReplicas[replica].ID, false, false, p.at(p.now))
	}
}

func (p *play) percentile(x float64) int { return p.tookMs[int(x*float64(len(p.tookMs)))] }

// Reports must shorten the answers of a service whose replicas are unequal at times, the more the
// newer they are.
func TestReportsShortenAnswers(t *testing.T) {
	got := map[int]*play{}
	for _, age := range []int{noReports, answersOnly, 0, 200, 500, 1000} {
		p := (&play{}).run(age)
		got[age] = p
		t.Logf("%s: p50 %d ms, p99 %d ms, %d answers", map[int]string{noReports: "no reports", answersOnly: "reports of the caller's own answers"}[age]+fmt.Sprint(" ", age), p.percentile(0.5), p.percentile(0.99), len(p.tookMs))
	}
}
