package notice_test

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"fieldvale/notice"
)

var noon = time.Date(2026, 1, 16, 12, 0, 0, 0, time.UTC)

// script calls f for each line of the file with what stands before and after its arrow.
func script(t *testing.T, path string, f func(given, want string)) {
	t.Helper()
	o, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	n := 0
	for c := bufio.NewScanner(o); c.Scan(); {
		given, want, ok := strings.Cut(c.Text(), " -> ")
		if ok && !strings.HasPrefix(given, "#") {
			n++
			f(given, want)
		}
	}
	if n == 0 {
		t.Fatalf("%s has no lines", path)
	}
}

// TestValues plays testdata/values.txt.
func TestValues(t *testing.T) {
	script(t, "testdata/values.txt", func(given, want string) {
		header, text, _ := strings.Cut(given, " ")
		var values []string
		if text != "nothing" {
			values = strings.Split(strings.Trim(text, `"`), `" "`)
		}
		if got := reading(header, values); got != want {
			t.Errorf("%s: %s, want %s", given, got, want)
		}
	})
}

func reading(header string, values []string) string {
	if header == "leaving" {
		l, err := notice.ParseDraining(values)
		if err != nil {
			return "unreadable"
		}
		return map[bool]string{true: "yes", false: "no"}[l]
	}
	u, err := notice.ParseRetryAfter(values, noon)
	switch {
	case err != nil:
		return "unreadable"
	case u.IsZero():
		return "none"
	}
	return u.Sub(noon).String()
}

// TestBeliefs plays testdata/beliefs.txt.
func TestBeliefs(t *testing.T) {
	at := func(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }
	script(t, "testdata/beliefs.txt", func(given, want string) {
		var b notice.Belief
		heard := 0
		for _, a := range strings.Split(given, ", ") {
			var sent, rest int
			n := notice.Notice{Refused: strings.Contains(a, "refused"), Draining: strings.Contains(a, "leaves")}
			if _, err := fmt.Sscan(a, &sent, &heard); err != nil {
				t.Fatal(err)
			}
			if _, r, ok := strings.Cut(a, "rest "); ok {
				if _, err := fmt.Sscan(r, &rest); err != nil {
					t.Fatal(err)
				}
				n.BackoffUntil = at(heard + rest)
			}
			n.SentAt, n.ReceivedAt = at(sent), at(heard)
			b = b.With(n)
		}
		var l []string
		if b.IsDraining() {
			l = append(l, fmt.Sprint("leaves since ", b.DrainingSince.Sub(noon).Milliseconds()))
		}
		switch {
		case b.IsResting(at(heard)):
			l = append(l, fmt.Sprint("rests until ", b.RestUntil.Sub(noon).Milliseconds()))
		case !b.RestUntil.IsZero():
			l = append(l, "unproven")
		}
		if got := strings.Join(l, ", "); got != want && !(got == "" && want == "nothing") {
			t.Errorf("%s: %q, want %q", given, got, want)
		}
	})
}

// No text crashes the reading, and no rest is without end.
func FuzzRest(f *testing.F) {
	for _, s := range []string{"", "3", "0.5", "-1", "NaN", "1e999", "Fri, 16 Jan 2026 12:00:05 GMT"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		u, err := notice.ParseRetryAfter([]string{a, b}, noon)
		if !u.IsZero() && (err != nil || !u.After(noon) || u.Sub(noon) > 10*time.Minute) {
			t.Errorf("%q %q: %s, %v", a, b, u, err)
		}
	})
}

// A leaving replica is remembered for as long as it is listed, and for some time after.
func TestLeavingReplicaIsForgottenOnlyOnceItIsGone(t *testing.T) {
	now := noon
	b := notice.NewTracker(func() time.Time { return now }, 2*time.Second, func(string, ...any) {})
	b.Observe(notice.Notice{Replica: "r", Draining: true, ReceivedAt: now})
	for range 100 {
		now = now.Add(time.Hour)
		b.Sweep(slices.Values([]string{"q", "r"}))
	}
	if !b.States()["r"].IsDraining() {
		t.Error("forgotten while it is listed")
	}
	now = now.Add(time.Hour)
	b.Sweep(slices.Values([]string{"q"}))
	if b.States()["r"].IsDraining() {
		t.Error("kept though it is gone for long")
	}
}
