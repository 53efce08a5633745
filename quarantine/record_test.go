package quarantine_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fieldvale/quarantine"
)

// One content is there as three replicas end, and is held after two trials.
func ExampleRecord() {
	now := time.Unix(0, 0)
	var r quarantine.Record
	for _, life := range []string{"r1", "r2", "r3"} {
		r = r.WithEnd(life, "n1", false, now)
	}
	fmt.Println(r.Decide(now))
	r = r.WithTrial(now).WithEnd("r4", "n2", true, now)
	r = r.WithTrial(now).WithEnd("r5", "n3", true, now)
	fmt.Println(r.Decide(now))
	// Output:
	// try
	// held
}

// TestRecordScripts plays testdata/*.txt, one content each:
//
//	end LIFE         a replica ended with it there
//	trial-end LIFE   the same, on trial
//	served|unclear|unsent
//	at SPAN          the time since the start
//	ask DECISION     what it may do then; a trial is counted
func TestRecordScripts(t *testing.T) {
	l, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(l) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, p := range l {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) { playRecord(t, p) })
	}
}

var whats = map[string]quarantine.Outcome{
	"end": quarantine.ReplicaCrashed, "trial-end": quarantine.ReplicaCrashed, "served": quarantine.Served,
	"unclear": quarantine.Inconclusive, "unsent": quarantine.NotRun,
}

var decisions = map[string]quarantine.Decision{"free": quarantine.Allow, "try": quarantine.AllowTrial, "wait": quarantine.Wait, "held": quarantine.Held}

func playRecord(t *testing.T, path string) {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	start := time.Unix(1_700_000_000, 0)
	now := start
	b := quarantine.NewBook()
	content := quarantine.RequestContent{Target: "/x"}.Fingerprint()
	n := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		n++
		w := strings.Fields(s.Text())
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "at":
			d, err := time.ParseDuration(w[1])
			if err != nil {
				t.Fatalf("line %d: %v", n, err)
			}
			now = start.Add(d)
			b.Sweep(now)
		case "ask":
			if _, d := b.Ask(content, now); d != decisions[w[1]] {
				t.Errorf("line %d: %s, want %s", n, d, w[1])
			}
		default:
			what, ok := whats[w[0]]
			if !ok {
				t.Fatalf("line %d: %q is not known", n, w[0])
			}
			e := quarantine.AttemptResult{Outcome: what, OnTrial: w[0] != "end"}
			if len(w) > 1 {
				e.Replica = w[1]
			}
			b.Tell(content, e, now)
		}
	}
}

// Somebody sends contents without end, and each replica that ends takes some of them with
// it: what is held stays known, and the memory has a bound.
func TestManyContentsPushNothingOut(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := quarantine.NewBook()
	of := func(i int) quarantine.Fingerprint {
		return quarantine.RequestContent{Target: fmt.Sprint(i)}.Fingerprint()
	}
	for i := range 3 {
		b.Tell(of(-1), quarantine.AttemptResult{Replica: fmt.Sprint("r", i)}, now)
	}
	for i := range 2 {
		b.Ask(of(-1), now)
		b.Tell(of(-1), quarantine.AttemptResult{Replica: fmt.Sprint("t", i), OnTrial: true}, now)
	}
	for i := range 20_000 {
		b.Tell(of(i), quarantine.AttemptResult{Replica: fmt.Sprint("s", i/50)}, now.Add(time.Second))
	}
	if _, d := b.Ask(of(-1), now); d != quarantine.Held {
		t.Errorf("the content that was held is %s now", d)
	}
	if n := b.Len(); n > 4096 {
		t.Errorf("%d records, want a bound of 4096", n)
	}
}

// The operator strikes a content; an instance that has not heard of it yet tells its record
// once more. It was held again, and written to the store anew.
func TestStruckContentsStayStruck(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := newFleet(1, 3, 3)
	f.now = now
	c := quarantine.RequestContent{Target: "/x"}.Fingerprint()
	e := quarantine.Entry{Fingerprint: c, Record: quarantine.Record{Score: 5, TrialCrashes: 2, LastCrashAt: now}}
	for _, n := range f.nodes {
		n.PutHeld(e)
		n.Tell(c, quarantine.AttemptResult{Replica: "r9"})
	}
	f.now = now.Add(time.Second)
	for _, n := range f.nodes {
		n.RemoveHeld(c)
		for _, o := range f.nodes {
			o.Tick()
		}
	}
	f.now = now.Add(3 * time.Second)
	for i, n := range f.nodes {
		n.Tick()
		if v := n.Ask(t.Context(), c); v.Decision != quarantine.Allow {
			t.Errorf("n%d: %s", i, v.Decision)
		}
	}
}
