package entry

import "sync"

// means are the running means of a figure, by what it is known for. They are
// safe for concurrent use.
type means struct {
	mu sync.Mutex
	// weight is of one value in the mean.
	weight float64
	m      map[string]float64
}

func newMeans(weight float64) *means { return &means{weight: weight, m: map[string]float64{}} }

// of returns the key's mean, which begins as first.
func (m *means) of(key string, first float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at(key, first)
}

// learn takes a value in; value returns it for the mean so far, which begins
// as first.
func (m *means) learn(key string, first float64, value func(mean float64) float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.at(key, first)
	m.m[key] = v + m.weight*(value(v)-v)
}

func (m *means) at(key string, first float64) float64 {
	v, ok := m.m[key]
	if !ok {
		m.m[key] = first
		return first
	}
	return v
}
