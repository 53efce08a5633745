package entry

import (
	"sync"
	"time"
)

const (
	// rememberFor is how long after its last request a session is remembered;
	// above the pause after which its requests no longer belong together,
	// which the users state as 5 s.
	rememberFor = 8 * time.Second
	// maxRemembered bounds the sessions remembered; at 100 bytes each some
	// 3 MB.
	maxRemembered = 1 << 15
)

// recent remembers which release ran a session's last request here. A
// session that is under way when a release is ordered does not move to it in
// the release's first phase.
type recent struct {
	mu      sync.Mutex
	m       map[string]lastRun
	sweepAt time.Time
}

type lastRun struct {
	release string
	at      time.Time
}

func newRecent() *recent { return &recent{m: map[string]lastRun{}} }

// release returns the release that ran the session's last request.
func (s *recent) release(session string, now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.m[session]
	if !ok || now.Sub(l.at) > rememberFor {
		return "", false
	}
	return l.release, true
}

// ran notes a session's request.
func (s *recent) ran(session, release string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.sweepAt) {
		s.sweepAt = now.Add(rememberFor)
		for k, l := range s.m {
			if now.Sub(l.at) > rememberFor {
				delete(s.m, k)
			}
		}
	}
	if len(s.m) < maxRemembered {
		s.m[session] = lastRun{release: release, at: now}
	}
}
