package capacity

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"
	"time"
)

// step is a line of testdata/account.jsonl: something that happens at an instance, and the resource for which
// it refuses connections after it; nil if that is not checked.
type step struct {
	Do    string
	Bytes int
	// Count repeats the step. MS is a time in milliseconds.
	Count int
	MS    float64
	Want  *string
}

// script is a line of testdata/account.jsonl.
type script struct {
	Name   string
	Limits Limits
	Steps  []step
}

func readScripts(t *testing.T) []script {
	f, err := os.Open("testdata/account.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var l []script
	for b := bufio.NewScanner(f); b.Scan(); {
		var s script
		if err := json.Unmarshal(b.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		l = append(l, s)
	}
	return l
}

// run performs the step on the account at the time that now holds.
func (s step) run(t *testing.T, a *Account, now *time.Time) {
	d := time.Duration(s.MS * float64(time.Millisecond))
	switch s.Do {
	case "wait":
		*now = now.Add(d)
	case "accept":
		a.Opened()
		a.Accepted()
	case "read":
		a.FirstRead()
		a.RequestStarted()
		a.Received(s.Bytes)
	case "send":
		a.Sent(s.Bytes)
	case "close":
		a.Closed()
	case "memory":
		a.ObserveMemory(int64(s.Bytes))
	case "late":
		a.ObserveLateness(d)
	case "connect", "probe", "needed_probe", "fail":
		p := ForRequests
		if s.Do == "probe" || s.Do == "needed_probe" {
			p = ForProbe
		}
		if s.Do == "needed_probe" && !a.NeedsProbe() {
			return
		}
		end := a.Connecting(p)
		*now = now.Add(d)
		end(s.Do != "fail")
	case "":
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
}

// Guards against an account that accepts connections beyond one of the instance's resources, or refuses them
// for what is not the instance's own.
func TestAccountRefusesForTheResourceThatIsUsedUp(t *testing.T) {
	for _, c := range readScripts(t) {
		t.Run(c.Name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := New(func() time.Time { return now }, c.Limits)
			for i, s := range c.Steps {
				for range max(1, s.Count) {
					s.run(t, a, &now)
				}
				if s.Want == nil {
					continue
				}
				if r, _ := a.MayAccept(); r.String() != *s.Want {
					t.Errorf("step %d (%s): connections are refused for %q, want %q", i+1, s.Do, r, *s.Want)
				}
			}
		})
	}
}

// Guards against a log line that names no resource in a second in which nearly no connection was accepted.
func TestRefusedTimeIsCountedByResource(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(func() time.Time { return now }, Limits{LinkBytes: 1e6})
	before := a.Status()
	a.Sent(1_000_000)
	for range 90 {
		if r, _ := a.MayAccept(); r == None {
			a.Accepted()
		}
		now = now.Add(10 * time.Millisecond)
	}
	s := a.Status()
	total, longest := s.RefusedAfter(before)
	if want := 880 * time.Millisecond; total < want || longest != LinkOut || s.Accepted != 1 {
		t.Errorf("refused for %s, longest for %s, accepted %d connections, want at least %s for %s and 1", total, longest, s.Accepted, want, LinkOut)
	}
}
