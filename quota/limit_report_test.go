package quota_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"fieldvale/quota"
)

var noon = time.Date(2026, 1, 16, 12, 0, 0, 0, time.UTC)

// TestParseLimitReport runs the cases of testdata/limit_headers.txt: the header values of a
// response, each quoted, and the limit that they advertise, "none" or "unreadable".
func TestParseLimitReport(t *testing.T) {
	f, err := os.Open("testdata/limit_headers.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for c := bufio.NewScanner(f); c.Scan(); {
		values, want, ok := strings.Cut(c.Text(), " -> ")
		if !ok {
			continue
		}
		var l []string
		for _, x := range strings.Split(values, `" "`) {
			if x = strings.Trim(x, `"`); x != "nothing" {
				l = append(l, x)
			}
		}
		w, err := quota.ParseLimitReport(l, noon, noon)
		got := "none"
		switch {
		case err != nil:
			got = "unreadable"
		case w.HasLimit:
			got = fmt.Sprint(w.PerSecond)
		}
		if got != want {
			t.Errorf("%s: got %s (%v), want %s", values, got, err, want)
		}
	}
}

// No header value makes the parser panic, and no limit is negative or unbounded.
func FuzzWord(f *testing.F) {
	for _, s := range []string{"", "2.1", "1e3", "NaN", "-1", "99999999999999999999", "1,2", "+3", "1e999", "0x1p4", "١"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		w, err := quota.ParseLimitReport([]string{a, b}, noon, noon)
		if w.HasLimit && (err != nil || !(w.PerSecond >= 0 && w.PerSecond <= 1e6)) {
			t.Errorf("%q %q: got %+v, %v, want a limit of 0 to 1e6 without an error", a, b, w, err)
		}
	})
}

// TestLimitRecords runs the cases of testdata/limit_records.txt: reports in the order of their
// arrival, and the limit that is in force afterwards.
func TestLimitRecords(t *testing.T) {
	f, err := os.Open("testdata/limit_records.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	at := func(s string) time.Time {
		d, err := time.ParseDuration(s + "s")
		if err != nil {
			t.Fatal(err)
		}
		return noon.Add(d)
	}
	for c := bufio.NewScanner(f); c.Scan(); {
		name, script, ok := strings.Cut(c.Text(), ": ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		reports, want, _ := strings.Cut(script, " -> ")
		var r quota.LimitRecord
		for _, x := range strings.Split(reports, "; ") {
			p := strings.Fields(x)
			values := []string{p[0]}
			if p[0] == "none" {
				values = nil
			}
			w, err := quota.ParseLimitReport(values, at(p[1]), at(p[2]))
			if err != nil {
				t.Fatal(err)
			}
			r = r.WithReport(w, "n1")
		}
		got := "free"
		if r.IsLimited() {
			got = fmt.Sprint(r.PerSecond)
		}
		if got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
}
