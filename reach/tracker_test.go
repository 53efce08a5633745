package reach

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// trackerScript is a case of testdata/tracker.txt.
type trackerScript struct {
	name  string
	lines []string
}

// readScripts reads the cases.
func readScripts(t *testing.T) []trackerScript {
	f, err := os.Open("testdata/tracker.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var l []trackerScript
	for b := bufio.NewScanner(f); b.Scan(); {
		s := b.Text()
		name, isCase := strings.CutPrefix(s, "case ")
		switch {
		case isCase:
			l = append(l, trackerScript{name: name})
		case s != "" && !strings.HasPrefix(s, "#"):
			l[len(l)-1].lines = append(l[len(l)-1].lines, s)
		}
	}
	return l
}

// ways are the ways by name.
var ways = map[string]Way{Direct.String(): Direct, Indirect.String(): Indirect}

// Guards against an instance that takes servers that are down for broken links, or the other way round.
func TestTracker(t *testing.T) {
	for _, s := range readScripts(t) {
		t.Run(s.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start
			x := NewTracker(func() time.Time { return now }, nil)
			for _, l := range s.lines {
				f := strings.Fields(l)
				ms, err := strconv.Atoi(f[0])
				if err != nil {
					t.Fatal(err)
				}
				now = start.Add(time.Duration(ms) * time.Millisecond)
				if got := runStep(x, f[1:]); got != strings.Join(f[1:], " ") {
					t.Errorf("%s: got %s", l, got)
				}
			}
		})
	}
}

// runStep performs a step and returns it with what the tracker said in place of what was expected.
func runStep(x *Tracker, f []string) string {
	got := f[0] + " " + f[1]
	switch f[0] {
	case "fail":
		x.Failed(f[1], ways[f[2]])
		return strings.Join(f, " ")
	case "connect":
		x.Connected(f[1], ways[f[2]])
		return strings.Join(f, " ")
	case "plan":
		p := x.Plan(f[1])
		got += " " + p.First.String()
		if p.Probe {
			got += " probe"
		}
		if p.MayUseOther {
			got += " other"
		}
		if p.IsUnreachable {
			got += " unreachable"
		}
	case "suspect", "sound":
		got = "sound " + f[1]
		if x.IsSuspect(f[1]) {
			got = "suspect " + f[1]
		}
	case "cutoff":
		got = "cutoff no"
		if x.Status().IsCutOff {
			got = "cutoff yes"
		}
	}
	return got
}
