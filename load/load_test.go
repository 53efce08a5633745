package load_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/load"
)

var noon = time.Date(2026, 1, 16, 12, 0, 0, 0, time.UTC)

// TestParse runs the cases of testdata/reports.txt. Guards against figures that are taken from an
// invalid header, and against errors that do not name the field.
func TestParse(t *testing.T) {
	b, err := os.ReadFile("testdata/reports.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		given, want, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " -> ")
		if !ok {
			continue
		}
		var values []string
		if given != "nothing" {
			values = strings.Split(given[1:len(given)-1], `" "`)
		}
		r, ok, err := load.Parse(values)
		got := "none"
		switch {
		case err != nil && (ok || r != load.Report{}):
			t.Errorf("%s: got %v, %t with an error, want no report", given, r, ok)
			continue
		case err != nil:
			got = strings.TrimSuffix(strings.TrimPrefix(err.Error(), "load.Parse: "), ": invalid load report")
		case ok:
			got = r.String()
		}
		if got != want {
			t.Errorf("%s: got %s, want %s", given, got, want)
		}
	}
}

// No header value makes the parser panic, and no figure of a report is out of bounds.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "3,1,6", "3,1,6,250", "-1,NaN,1e9", "3,1,0,0", ",,,", "99999999999999999999,1,6"} {
		f.Add(s, "250")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		for _, l := range [][]string{{a}, {a, b}} {
			r, ok, err := load.Parse(l)
			if ok == (err != nil) || !ok && r != (load.Report{}) {
				t.Errorf("%q: got %v, %t, %v; want a report or an error", l, r, ok, err)
			}
			if ok && (r.Running < 0 || r.Running > 1e6 || r.Waiting < 0 || r.Waiting > 1e6 || r.Slots < 1 || r.Slots > 1e5 || !(r.Slowness >= 0.1 && r.Slowness <= 100)) {
				t.Errorf("%q: got %v, out of bounds", l, r)
			}
		}
	})
}

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func sample(replica string, running, sentMs, receivedMs int) load.Sample {
	return load.Sample{Report: load.Report{Running: running, Slots: 6, Slowness: 1}, Replica: replica, SentAt: at(sentMs), ReceivedAt: at(receivedMs)}
}

// Guards against a delayed response that replaces the report of a request sent later, and against
// reports that are used after one second.
func TestNewestReportIsKept(t *testing.T) {
	var results []load.Result
	tr := load.NewTracker(time.Now, nil, load.Hooks{Reported: func(r load.Result) { results = append(results, r) }})
	tr.CountOwn(func(string) int { return 2 })
	tr.Observe(sample("r", 5, 100, 150))
	tr.Observe(sample("r", 9, 50, 400))
	s, ok := tr.Newest("r", at(1149))
	if !ok || s.Running != 5 || s.Own != 2 || s.Age(at(1149)) != 999*time.Millisecond {
		t.Errorf("got %+v, %t; want the report of the request sent at 100 ms, 999 ms old", s, ok)
	}
	if _, ok := tr.Newest("r", at(1150)); ok {
		t.Error("a report one second old counts, want none")
	}
	tr.Observe(sample("r", 7, 100, 1200))
	if s, _ := tr.Newest("r", at(1200)); s.Running != 7 || s.OthersPerSlot() != 5.0/6 {
		t.Errorf("got %+v, want 7 requests running, 5 of others", s)
	}
	if got := fmt.Sprint(results); got != "[kept outdated kept]" {
		t.Errorf("got results %s, want [kept outdated kept]", got)
	}
}

// Guards against memory that grows as replicas come and go, and against a tracker that, once full,
// takes no new replicas.
func TestReportsOfGoneReplicasAreDeleted(t *testing.T) {
	results := map[load.Result]int{}
	tr := load.NewTracker(time.Now, nil, load.Hooks{Reported: func(r load.Result) { results[r]++ }})
	for i := range 3000 {
		tr.Observe(sample(fmt.Sprint("r", i), 1, 0, 0))
	}
	if results[load.Kept] != 1024 || results[load.NoRoom] != 3000-1024 {
		t.Errorf("got %v, want 1024 kept", results)
	}
	tr.Observe(sample("new", 1, 1500, 1500))
	if _, ok := tr.Newest("new", at(1500)); !ok {
		t.Error("the report of a new replica was not kept although all others are old")
	}
}

// An invalid value must cause a log line, not more than one a second, and must leave the report as
// it was.
func TestInvalidReportIsLoggedOnly(t *testing.T) {
	var log bytes.Buffer
	now := noon
	tr := load.NewTracker(func() time.Time { return now }, func(e string, f ...any) { fmt.Fprintln(&log, e, f) }, load.Hooks{})
	tr.Observe(sample("r", 5, 0, 0))
	for range 100 {
		tr.LogInvalidHeader("r", "H", errors.New("bad"))
	}
	if want := "answer_header_unreadable [replica r header H error bad]\n"; log.String() != want {
		t.Errorf("got log %q, want %q", log.String(), want)
	}
	if s, ok := tr.Newest("r", noon); !ok || s.Running != 5 {
		t.Errorf("got %+v, %t; want the report as before", s, ok)
	}
	now = at(1000)
	if tr.LogInvalidHeader("r", "H", errors.New("bad")); strings.Count(log.String(), "\n") != 2 {
		t.Errorf("got log %q, want a second line after a second", log.String())
	}
}
