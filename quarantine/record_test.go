package quarantine_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"fieldvale/quarantine"
)

// A content is present when three replicas crash, and is held after two trials that crash their
// replica.
func ExampleRecord() {
	now := time.Unix(0, 0)
	var r quarantine.Record
	for _, replica := range []string{"r1", "r2", "r3"} {
		r = r.WithCrash(replica, "n1", false, now)
	}
	fmt.Println(r.Decide(now))
	r = r.WithTrial(now).WithCrash("r4", "n2", true, now)
	r = r.WithTrial(now).WithCrash("r5", "n3", true, now)
	fmt.Println(r.Decide(now))
	// Output:
	// try
	// held
}

// TestRecordScripts runs testdata/*.txt, each the history of one content, or of a part of prompts if its
// name begins with part:
//
//	end REPLICA         a replica crashed while it had a request with the content; for a part, as an
//	                    answer began there
//	trial-end REPLICA   the same, with the request there on trial
//	beside REPLICA      a replica crashed while a request with the part waited there
//	survived N          N answers with the part went on
//	served|unclear|unsent
//	at DURATION         sets the time since the start
//	ask DECISION        checks the decision; a trial that is allowed is counted
func TestRecordScripts(t *testing.T) {
	l, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(l) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, p := range l {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) { runScript(t, p) })
	}
}

var outcomes = map[string]quarantine.Outcome{
	"end": quarantine.ReplicaCrashed, "trial-end": quarantine.ReplicaCrashed, "served": quarantine.Served,
	"unclear": quarantine.Inconclusive, "unsent": quarantine.NotRun, "beside": quarantine.ReplicaCrashed, "survived": quarantine.NoAttempt,
}

var decisions = map[string]quarantine.Decision{"free": quarantine.Allow, "try": quarantine.AllowTrial, "wait": quarantine.Wait, "held": quarantine.Held}

func runScript(t *testing.T, path string) {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	start := time.Unix(1_700_000_000, 0)
	now := start
	b := quarantine.NewRecordTable()
	content := quarantine.RequestContent{Target: "/x"}.Fingerprint()
	kind := quarantine.KindContent
	if strings.HasPrefix(filepath.Base(path), "part") {
		kind = quarantine.KindPart
	}
	n := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		n++
		words := strings.Fields(s.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		switch words[0] {
		case "at":
			d, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatalf("line %d: %v", n, err)
			}
			now = start.Add(d)
			b.Sweep(now)
		case "ask":
			if _, d := b.Check(content, nil, now); d != decisions[words[1]] {
				t.Errorf("line %d: got decision %s, want %s", n, d, words[1])
			}
		default:
			outcome, ok := outcomes[words[0]]
			if !ok {
				t.Fatalf("line %d: unknown step %q", n, words[0])
			}
			e := quarantine.AttemptResult{Outcome: outcome, OnTrial: strings.HasPrefix(words[0], "trial-") || len(words) == 1, Kind: kind, AnswerBegan: words[0] != "beside"}
			switch {
			case words[0] == "survived":
				e.Survivals, err = strconv.Atoi(words[1])
				if err != nil {
					t.Fatalf("line %d: %v", n, err)
				}
			case len(words) > 1:
				e.Replica = words[1]
			}
			b.AddResult(content, e, now)
		}
	}
}

// Guards against evicting a held record: a client sends ever new contents, and each replica that
// crashes creates records for some of them. The held content must stay held, and the number of
// records bounded.
func TestHeldRecordSurvivesManyFingerprints(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := quarantine.NewRecordTable()
	fingerprint := func(i int) quarantine.Fingerprint {
		return quarantine.RequestContent{Target: fmt.Sprint(i)}.Fingerprint()
	}
	for i := range 3 {
		b.AddResult(fingerprint(-1), quarantine.AttemptResult{Replica: fmt.Sprint("r", i)}, now)
	}
	for i := range 2 {
		b.Check(fingerprint(-1), nil, now)
		b.AddResult(fingerprint(-1), quarantine.AttemptResult{Replica: fmt.Sprint("t", i), OnTrial: true}, now)
	}
	for i := range 20_000 {
		b.AddResult(fingerprint(i), quarantine.AttemptResult{Replica: fmt.Sprint("s", i/50)}, now.Add(time.Second))
	}
	if _, d := b.Check(fingerprint(-1), nil, now); d != quarantine.Held {
		t.Errorf("the held content: got decision %s, want held", d)
	}
	if n := b.Len(); n > 4096 {
		t.Errorf("got %d records, want at most 4096", n)
	}
}

// Guards against holding a removed content again: after the operator removes it, an instance that
// has not seen the removal yet broadcasts its record once more, and the others would hold the
// content and write it to the store again.
func TestRemovedContentStaysRemoved(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := newFleet(1, 3, 3)
	f.now = now
	c := quarantine.RequestContent{Target: "/x"}.Fingerprint()
	e := quarantine.Entry{Fingerprint: c, Record: quarantine.Record{Score: 5, TrialCrashes: 2, LastCrashAt: now}}
	for _, n := range f.nodes {
		n.PutHeld(e)
		n.ReportAttempt(c, quarantine.AttemptResult{Replica: "r9"})
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
		if v := n.Check(t.Context(), c); v.Decision != quarantine.Allow {
			t.Errorf("n%d: got decision %s for the removed content, want free", i, v.Decision)
		}
	}
}
