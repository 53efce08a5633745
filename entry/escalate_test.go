package entry

import (
	"testing"
	"time"
)

// Guards against a small model's answer that is dropped for a larger model's that is not complete
// by the deadline, and against good answers that are no longer asked for.
func TestLargerModelIsAskedOnlyIfItCompletesInTime(t *testing.T) {
	for _, c := range []struct {
		name             string
		timeLeft, finish time.Duration
		pauseTarget      time.Duration
		model, want      string
	}{
		{"in time", 20 * time.Second, 3 * time.Second, completionPause, "large", escalated},
		{"after the deadline", 20 * time.Second, 21 * time.Second, completionPause, "small", keptIncomplete},
		{"without a margin", 20 * time.Second, 17 * time.Second, completionPause, "small", keptIncomplete},
		{"little time left", 3 * time.Second, 2500 * time.Millisecond, completionPause, "small", keptIncomplete},
		{"no estimate on another route", 20 * time.Second, 21 * time.Second, completionPause - 1, "large", escalated},
	} {
		s := newScenario(complete(50*time.Millisecond), complete(50*time.Millisecond))
		s.models, s.timeLeft, s.finish, s.pauseTarget = []string{"small", "large"}, c.timeLeft, c.finish, c.pauseTarget
		f, x, err := s.run(t)
		if len(f.faults) > 0 || err != nil || x.Model != c.model || x.Escalation != c.want {
			t.Errorf("%s: %v, %v, answered by %s (%s), want %s (%s)", c.name, f.faults, err, x.Model, x.Escalation, c.model, c.want)
		}
	}
}
