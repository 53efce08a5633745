package entry

import (
	"sync"
	"time"
)

const (
	// firstSpeed is the milliseconds that the smallest model takes to read a
	// token before any was seen to, and firstSlowdown how much longer each
	// larger size takes; rough, as they only last for the first prompts.
	firstSpeed    = 0.006
	firstSlowdown = 3.0
	// speedWeight is of one prompt in the running mean of its speed.
	speedWeight = 0.05
	// minSpeedTokens is the least prompt that shows its reading's speed: the
	// rest of the time to its first event is of another kind.
	minSpeedTokens = 1000
)

// speeds learns how long models take to read a token, in milliseconds.
type speeds struct {
	mu sync.Mutex
	m  map[string]float64
}

func newSpeeds() *speeds { return &speeds{m: map[string]float64{}} }

// of returns the milliseconds for a token; size is the model's rank.
func (s *speeds) of(key string, size int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.m[key]; ok {
		return v
	}
	v := firstSpeed
	for range size {
		v *= firstSlowdown
	}
	s.m[key] = v
	return v
}

// saw learns from a prompt that was read with nothing before it.
func (s *speeds) saw(key string, took time.Duration, tokens float64) {
	if tokens < minSpeedTokens {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.m[key]
	x := took.Seconds() * 1000 / tokens
	s.m[key] = v + speedWeight*(min(x, 4*v)-v)
}
