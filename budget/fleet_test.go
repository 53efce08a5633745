package budget

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fieldvale/peer"
)

// start starts a process of the instance. first is set at the first start of the whole fleet.
func (s *simulation) start(n *simNode, first bool) {
	l := &life{started: s.now}
	l.budget = New(Config{
		Limit: FleetLimit(s.limit.Ratio, s.limit.Burst), FleetSize: func() int { return l.size.Size() }, Clock: s.clock, Restarted: !first,
		Self: peer.Member{ID: n.addr, Addr: n.addr}, Process: s.rand.Uint64(), Net: simTransport{s, n}, Log: func(string, ...any) {},
	})
	n.life = l
	s.follow(n, l)
	s.tick(n, l)
}

// tick has the life's budget do its periodic work.
func (s *simulation) tick(n *simNode, l *life) {
	s.after(exchangeInterval.Seconds(), func() {
		if n.life != l {
			return
		}
		if !n.isFrozen(s.now) {
			l.budget.Tick()
		}
		s.tick(n, l)
	})
}

// simTransport sends the datagrams of one instance. Some are lost, and some arrive twice.
type simTransport struct {
	s    *simulation
	from *simNode
}

func (t simTransport) Send(addr string, b []byte) error {
	s := t.s
	for range []int{1, 1, 1, 1, 1, 1, 1, 1, 2, 0}[s.rand.IntN(10)] {
		s.after(0.001+0.01*s.rand.Float64(), func() {
			n := s.byAddr[addr]
			if n.life != nil && !n.isFrozen(s.now) && !n.isCut(s.now) && !t.from.isCut(s.now) {
				n.life.budget.Receive(t.from.addr, b)
			}
		})
	}
	return nil
}

// followInterval is the time in seconds between two answers of an instance's source.
const followInterval = 0.45

// follow has the life receive the state of the store or of another instance from time to time.
func (s *simulation) follow(n *simNode, l *life) {
	s.after(followInterval*(0.5+s.rand.Float64()), func() {
		if n.life != l {
			return
		}
		if !n.isFrozen(s.now) && s.hasConnection(n) {
			s.updateMembers(l)
			if known := l.size.Size(); n.mayRegister && known > s.recorded {
				s.recorded = known
			}
			l.size = l.size.WithReport(s.recorded, s.clock()).WithReport(s.reportedSize(n), s.clock()).WithEstimate(s.estimate(n, l), s.clock())
		}
		s.follow(n, l)
	})
}

// updateMembers passes the list of members to the life if it has changed.
func (s *simulation) updateMembers(l *life) {
	if n := s.registered(); l.members != n {
		l.members = n
		l.budget.SetMembers(s.members())
	}
}

// reportedSize is the size that the instance's source reports.
func (s *simulation) reportedSize(n *simNode) int {
	m := s.nodes[s.rand.IntN(len(s.nodes))]
	if m == n || m.life == nil || !s.hasConnection(m) || m.isFrozen(s.now) {
		return 0
	}
	return m.life.size.Size()
}

// readDay reads a day from a file. Each line is a kind with a fraction and a period in seconds.
func readDay(t *testing.T, path string) day {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var d day
	for l := bufio.NewScanner(f); l.Scan(); {
		if l.Text() == "" || strings.HasPrefix(l.Text(), "#") {
			continue
		}
		var kind string
		var x span
		if _, err := fmt.Sscan(l.Text(), &kind, &x.fraction, &x.from, &x.to); err != nil {
			t.Fatalf("%s: line %q: got error %v, want KIND FRACTION FROM TO", path, l.Text(), err)
		}
		list, ok := d.lists()[kind]
		if !ok {
			t.Fatalf("%s: line %q: unknown kind %q", path, l.Text(), kind)
		}
		*list = append(*list, x)
	}
	return d
}

// lists are the lists of spans by the kinds' names in files.
func (d *day) lists() map[string]*[]span {
	return map[string]*[]span{"kill": &d.kills, "fail": &d.failures, "lapse": &d.lapses, "cut": &d.cuts, "freeze": &d.freezes, "shift": &d.shifts, "hole": &d.holes, "add": &d.additions}
}

// wantWithinBound fails if the replicas got more retries in a window than the fleet may send.
func (s *simulation) wantWithinBound(t *testing.T, what string) {
	t.Helper()
	f, from := s.worstWindow()
	t.Logf("%3d instances, %s: at most %.2f of what is allowed, %.3f of the retries denied", s.size, what, f, float64(s.denied)/float64(max(1, s.wanted)))
	if f > 1 {
		t.Errorf("%d instances, %s: got %.2f of the allowed retries in the 10 s from %.1f s, want at most 1", s.size, what, f, from)
	}
}

// playScripts plays the days of a folder at all sizes.
func playScripts(t *testing.T, folder string) {
	files, _ := filepath.Glob(filepath.Join("testdata", folder, "*.txt"))
	if len(files) == 0 {
		t.Fatalf("no days in testdata/%s", folder)
	}
	for _, path := range files {
		d := readDay(t, path)
		for _, size := range []int{7, 65, 133, 300, 985} {
			play(fleets[size], d, uint64(size)).wantWithinBound(t, path)
		}
	}
}

func TestNewProcessesDoNotForgetSpentRetries(t *testing.T) { playScripts(t, "lives") }

func TestSharesHoldWhereFleetSizeIsUncertain(t *testing.T) { playScripts(t, "size") }

func TestMovingClientsDoNotEarnTwice(t *testing.T) { playScripts(t, "clients") }

var drawnDays = flag.Int("days", 12, "number of drawn days for each size, of which large fleets play a quarter")

// Days with several disruptions at once, drawn by seed, must stay within the bound at all sizes.
func TestRetriesOfDrawnDaysStayWithinBound(t *testing.T) {
	for _, size := range []int{7, 65, 133, 300, 985} {
		days := *drawnDays
		if size > 133 {
			days /= 4
		}
		for seed := range uint64(days) {
			play(fleets[size], drawDay(seed), seed).wantWithinBound(t, fmt.Sprintf("seed %d", seed))
		}
	}
}

// drawDay draws a day with failures and two to six disruptions.
func drawDay(seed uint64) day {
	r := rand.New(rand.NewPCG(seed, 2))
	var d day
	at := func(fraction, longest float64) span {
		from := 2 + 24*r.Float64()
		return span{fraction, from, from + longest*r.Float64()}
	}
	for range 1 + r.IntN(2) {
		d.failures = append(d.failures, at([]float64{0.3, 0.5, 0.9, 1}[r.IntN(4)], 15))
	}
	for range 2 + r.IntN(5) {
		switch r.IntN(7) {
		case 0, 1:
			first := at(0.3+0.7*r.Float64(), 0)
			for i := range 1 + r.IntN(3) {
				x := first
				x.from += float64(i) * (1 + 3*r.Float64())
				d.kills = append(d.kills, x)
			}
		case 2:
			d.lapses = append(d.lapses, at(1, 6))
		case 3:
			d.cuts = append(d.cuts, at(0.5*r.Float64(), 12))
		case 4:
			d.freezes = append(d.freezes, at(0.3*r.Float64(), 6))
		case 5:
			d.shifts = append(d.shifts, at(r.Float64(), 8))
		case 6:
			d.holes = append(d.holes, at(1, 6))
		}
	}
	return d
}

// A sound fleet may deny one retry in 50 where an instance gets five requests a second or more, one in
// ten where it gets one, and a quarter below.
func TestRetriesAreAllowedWhereNothingIsWrong(t *testing.T) {
	for _, c := range []struct {
		size        int
		wantAtMost  float64
		day         day
		description string
	}{
		{7, 0.02, day{}, "calm day"},
		{65, 0.02, day{}, "calm day"},
		{133, 0.1, day{}, "calm day"},
		{300, 0.1, day{}, "calm day"},
		{985, 0.25, day{}, "calm day"},
		{65, 0.02, day{failures: []span{{0.25, 10, 12}}}, "a quarter of the replicas fail for two seconds"},
	} {
		s := play(fleets[c.size], c.day, 1)
		s.wantWithinBound(t, c.description)
		if got := float64(s.denied) / float64(s.wanted); got > c.wantAtMost {
			t.Errorf("%d instances, %s: got %.3f of the retries denied, want at most %.3f", c.size, c.description, got, c.wantAtMost)
		}
	}
}
