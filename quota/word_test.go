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

// TestWords plays testdata/words.txt: the figures that an answer names, each quoted, and
// the limit that they are, "none" or "unreadable".
func TestWords(t *testing.T) {
	f, err := os.Open("testdata/words.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for c := bufio.NewScanner(f); c.Scan(); {
		figures, want, ok := strings.Cut(c.Text(), " -> ")
		if !ok {
			continue
		}
		var l []string
		for _, x := range strings.Split(figures, `" "`) {
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
			t.Errorf("%s: %s (%v), want %s", figures, got, err, want)
		}
	}
}

// No text crashes the reading, and a limit is never below zero or without bound.
func FuzzWord(f *testing.F) {
	for _, s := range []string{"", "2.1", "1e3", "NaN", "-1", "99999999999999999999", "1,2", "+3", "1e999", "0x1p4", "١"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		w, err := quota.ParseLimitReport([]string{a, b}, noon, noon)
		if w.HasLimit && (err != nil || !(w.PerSecond >= 0 && w.PerSecond <= 1e6)) {
			t.Errorf("%q %q: %+v, %v", a, b, w, err)
		}
	})
}

// TestBeliefs plays testdata/beliefs.txt: words in the order in which they are heard.
func TestBeliefs(t *testing.T) {
	f, err := os.Open("testdata/beliefs.txt")
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
		words, want, _ := strings.Cut(script, " -> ")
		var b quota.Belief
		for _, x := range strings.Split(words, "; ") {
			p := strings.Fields(x)
			figures := []string{p[0]}
			if p[0] == "none" {
				figures = nil
			}
			w, err := quota.ParseLimitReport(figures, at(p[1]), at(p[2]))
			if err != nil {
				t.Fatal(err)
			}
			b = b.With(w, "n1")
		}
		got := "free"
		if b.IsLimited() {
			got = fmt.Sprint(b.PerSecond)
		}
		if got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
}
