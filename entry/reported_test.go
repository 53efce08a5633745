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

// Reports must shorten the answers of a service whose replicas are unequal at times, and old ones
// must not lengthen them: callers that all follow the same old report overload the replica that was
// idle then.
func TestReportsShortenAnswers(t *testing.T) {
	// A run without reports is the measure. The bounds are parts of its p50 and p99; 1.1 is above the
	// differences between random draws.
	without := (&play{}).run(noReports)
	t.Logf("no reports: p50 %d ms, p99 %d ms", without.percentile(0.5), without.percentile(0.99))
	for _, c := range []struct {
		name     string
		ageMs    int
		p50, p99 float64
	}{
		{"reports in the caller's own answers", answersOnly, 1.1, 1.1},
		{"0 ms old", 0, 0.85, 0.8},
		{"200 ms old", 200, 1.1, 1},
		{"1000 ms old", 1000, 1, 1},
	} {
		p := (&play{}).run(c.ageMs)
		t.Logf("%s: p50 %d ms, p99 %d ms", c.name, p.percentile(0.5), p.percentile(0.99))
		for x, bound := range map[float64]float64{0.5: c.p50, 0.99: c.p99} {
			if got, most := p.percentile(x), bound*float64(without.percentile(x)); float64(got) > most {
				t.Errorf("%s: %.0f%% of the answers take up to %d ms, want at most %.0f", c.name, x*100, got, most)
			}
		}
	}
}

// reportingBackends returns backends for which the replicas reported these loads at now.
func reportingBackends(seed uint64, now time.Time, reports map[string]load.Report) *backends {
	b := newBackends(rand.NewPCG(seed, 1), nil)
	b.loads = load.NewTracker(func() time.Time { return now }, nil, load.Hooks{})
	b.loads.CountOwn(b.countAt)
	for id, r := range reports {
		b.loads.Observe(load.Sample{Report: r, Replica: id, SentAt: now, ReceivedAt: now})
	}
	return b
}

var playNow = time.Unix(1_700_000_000, 0)

// Guards against herding: if all callers learn of an idle replica at once, a third of them must still
// choose others.
func TestCallersSpreadOverReplicasAfterReports(t *testing.T) {
	count := map[string]int{}
	for c := range playCallers {
		b := reportingBackends(uint64(c), playNow, map[string]load.Report{"0": {Running: 6, Waiting: 6, Slots: 6, Slowness: 1}, "1": {Running: 6, Waiting: 6, Slots: 6, Slowness: 1}, "2": {Slots: 6, Slowness: 1}})
		count[b.takeOpaque(playReplicas, localRequest{slotMs: playWorkMs}, nil, playNow).ID]++
	}
	t.Logf("choices of %d callers: %v", playCallers, count)
	if n := count["2"]; n < playCallers/2 || n > playCallers*3/4 {
		t.Errorf("%d of %d callers chose the idle replica, want half to three quarters", n, playCallers)
	}
}

// Guards against a change of the choices, or of the random draws behind them, where no replica
// reports its load or all reports are too old.
func TestChoicesWithoutReportsAreUnchanged(t *testing.T) {
	choose := func(b *backends, now time.Time) (l []string) {
		for i := range 200 {
			c := b.takeOpaque(playReplicas, localRequest{costMs: 1, slotMs: playWorkMs, remotePenaltyMs: 5, dataCentre: "z"}, nil, now)
			l = append(l, c.ID, b.take(playReplicas, pool.Request{AffinityKey: []string{"", "k"}[i%2]}, nil, now).ID)
			if i%3 == 0 {
				b.doneOpaque(c.ID, false, false, now)
			}
		}
		return l
	}
	want := choose(newBackends(rand.NewPCG(5, 1), nil), playNow)
	old := map[string]load.Report{"0": {Slots: 6, Slowness: 1}, "1": {Running: 60, Slots: 6, Slowness: 9}}
	for name, b := range map[string]*backends{"no reports": reportingBackends(5, playNow, nil), "old reports": reportingBackends(5, playNow.Add(-time.Second), old)} {
		if got := choose(b, playNow); !slices.Equal(got, want) {
			t.Errorf("%s: got choices %v, want %v", name, got, want)
		}
	}
}

// Guards against reports that override what excludes a replica, such as a failed attempt or an open
// breaker, or that draw requests to another data centre for a small gain.
func TestReportsRespectExclusionsAndDistance(t *testing.T) {
	busy, idle := load.Report{Running: 6, Slots: 6, Slowness: 1}, load.Report{Slots: 6, Slowness: 1}
	reports := map[string]load.Report{"0": busy, "1": busy, "2": idle}
	near := []*pool.Replica{{ID: "0", DataCentre: "a", Slots: 6}, {ID: "1", DataCentre: "a", Slots: 6}, {ID: "2", DataCentre: "b", Slots: 6}}
	for seed := range uint64(50) {
		b := reportingBackends(seed, playNow, reports)
		if c := b.takeOpaque(playReplicas, localRequest{slotMs: 60}, []string{"2"}, playNow); c.ID == "2" {
			t.Error("a replica that failed was chosen again because it reports to be idle")
		}
		b.assign(playReplicas[2], 1, playNow)
		b.doneOpaque("2", true, true, playNow)
		if c := b.takeOpaque(playReplicas, localRequest{slotMs: 60}, nil, playNow); c.ID == "2" {
			t.Error("a replica with an open breaker was chosen because it reports to be idle")
		}
		for penalty, want := range map[float64]bool{30: true, 90: false} {
			b := reportingBackends(seed, playNow, reports)
			if c := b.takeOpaque(near, localRequest{slotMs: 60, remotePenaltyMs: penalty, dataCentre: "a"}, nil, playNow); (c.ID == "2") != want {
				t.Errorf("a load of 60 ms less in another data centre that costs %.0f ms: got replica %s, want the remote one %t", penalty, c.ID, want)
			}
		}
	}
}

// Guards against prompts that leave the replica with their prefix for a small difference in load, or
// that stay there when it is overloaded.
func TestPromptsWithoutOwnerUseReports(t *testing.T) {
	q := localRequest{affinityKey: "k", costMs: 50, slotMs: 1000}
	first := newBackends(rand.NewPCG(1, 1), nil).takeOpaque(playReplicas, q, nil, playNow).ID
	for running, stays := range map[int]bool{0: true, 6: false} {
		reports := map[string]load.Report{"0": {Slots: 6, Slowness: 1}, "1": {Slots: 6, Slowness: 1}, "2": {Slots: 6, Slowness: 1}}
		reports[first] = load.Report{Running: running, Slots: 6, Slowness: 1}
		for seed := range uint64(20) {
			if c := reportingBackends(seed, playNow, reports).takeOpaque(playReplicas, q, nil, playNow); (c.ID == first) != stays {
				t.Errorf("%d requests run at the replica with the prefix: got %s, want %s %t", running, c.ID, first, stays)
			}
		}
	}
}

// Guards against reports that have no effect on the product's own interface.
func TestOwnInterfaceUsesReports(t *testing.T) {
	two := playReplicas[:2]
	for seed := range uint64(20) {
		b := reportingBackends(seed, playNow, map[string]load.Report{"0": {Running: 1, Slots: 6, Slowness: 2.5}, "1": {Running: 2, Slots: 6, Slowness: 1}})
		if c := b.take(two, pool.Request{}, nil, playNow); c.ID != "1" {
			t.Errorf("got replica %s, want 1: 3/6 there is less than 2/6 at 2.5 times the time", c.ID)
		}
	}
}

// A choice among 63 replicas with reports must take less than 20 microseconds.
func BenchmarkChoiceByReports(b *testing.B) {
	reports := map[string]load.Report{}
	var l []*pool.Replica
	for i := range 63 {
		l = append(l, &pool.Replica{ID: fmt.Sprint("r", i), Slots: 64})
		reports[l[i].ID] = load.Report{Running: i, Slots: 64, Slowness: 1}
	}
	x := reportingBackends(1, playNow, reports)
	for b.Loop() {
		x.release(x.takeOpaque(l, localRequest{slotMs: 60}, nil, playNow).ID)
	}
}
