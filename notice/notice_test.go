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

// forEachCase calls f for each line of the file with the text before and after its arrow.
func forEachCase(t *testing.T, path string, f func(given, want string)) {
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
		t.Fatalf("%s has no cases", path)
	}
}

// TestHeaderParsing runs the cases of testdata/headers.txt.
func TestHeaderParsing(t *testing.T) {
	forEachCase(t, "testdata/headers.txt", func(given, want string) {
		header, text, _ := strings.Cut(given, " ")
		var values []string
		if text != "nothing" {
			values = strings.Split(strings.Trim(text, `"`), `" "`)
		}
		if got := parseHeader(header, values); got != want {
			t.Errorf("%s: got %s, want %s", given, got, want)
		}
	})
}

func parseHeader(header string, values []string) string {
	if header == "leaving" {
		draining, err := notice.ParseDraining(values)
		if err != nil {
			return "unreadable"
		}
		return map[bool]string{true: "yes", false: "no"}[draining]
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

// TestReplicaStates runs the cases of testdata/replica_states.txt.
func TestReplicaStates(t *testing.T) {
	at := func(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }
	forEachCase(t, "testdata/replica_states.txt", func(given, want string) {
		var s notice.ReplicaState
		received := 0
		for _, a := range strings.Split(given, ", ") {
			var sent, backoff int
			n := notice.Notice{Refused: strings.Contains(a, "refused"), Draining: strings.Contains(a, "leaves")}
			if _, err := fmt.Sscan(a, &sent, &received); err != nil {
				t.Fatal(err)
			}
			if _, r, ok := strings.Cut(a, "rest "); ok {
				if _, err := fmt.Sscan(r, &backoff); err != nil {
					t.Fatal(err)
				}
				n.BackoffUntil = at(received + backoff)
			}
			n.SentAt, n.ReceivedAt = at(sent), at(received)
			s = s.WithNotice(n)
		}
		var l []string
		if s.IsDraining() {
			l = append(l, fmt.Sprint("leaves since ", s.DrainingSince.Sub(noon).Milliseconds()))
		}
		switch {
		case s.IsBackingOff(at(received)):
			l = append(l, fmt.Sprint("rests until ", s.BackoffUntil.Sub(noon).Milliseconds()))
		case !s.BackoffUntil.IsZero():
			l = append(l, "unproven")
		}
		if got := strings.Join(l, ", "); got != want && !(got == "" && want == "nothing") {
			t.Errorf("%s: got %q, want %q", given, got, want)
		}
	})
}

// No header value makes the parser panic, and no requested backoff exceeds ten minutes.
func FuzzRest(f *testing.F) {
	for _, s := range []string{"", "3", "0.5", "-1", "NaN", "1e999", "Fri, 16 Jan 2026 12:00:05 GMT"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		u, err := notice.ParseRetryAfter([]string{a, b}, noon)
		if !u.IsZero() && (err != nil || !u.After(noon) || u.Sub(noon) > 10*time.Minute) {
			t.Errorf("%q %q: got %s, %v; want zero, or a time at most 10 minutes ahead without an error", a, b, u, err)
		}
	})
}

// Guards against forgetting that a replica is draining while it is still listed: its state must
// survive sweeps for as long as it is listed, and must be deleted some time after it is unlisted,
// so that states don't accumulate.
func TestDrainingReplicaIsKeptWhileListed(t *testing.T) {
	now := noon
	tr := notice.NewTracker(func() time.Time { return now }, 2*time.Second, func(string, ...any) {})
	tr.Observe(notice.Notice{Replica: "r", Draining: true, ReceivedAt: now})
	for range 100 {
		now = now.Add(time.Hour)
		tr.Sweep(slices.Values([]string{"q", "r"}))
	}
	if !tr.States()["r"].IsDraining() {
		t.Error("the state of a listed replica was deleted: got not draining, want draining")
	}
	now = now.Add(time.Hour)
	tr.Sweep(slices.Values([]string{"q"}))
	if tr.States()["r"].IsDraining() {
		t.Error("the state of a replica that is long unlisted was kept: got draining, want not draining")
	}
}
