// Package means maintains running means of observed values by key.
package means

import "sync"

// RunningMeans holds exponentially weighted means of one quantity by key. It is safe for
// concurrent use.
type RunningMeans struct {
	mu sync.Mutex
	// weight is the weight of a new value in the mean, from 0 to 1.
	weight float64
	// prior is the number of values as which the initial value counts. If it is not 0,
	// the mean begins as the arithmetic mean of the initial value and the observed ones,
	// and becomes exponentially weighted once a new value would count less than weight.
	prior float64
	byKey map[string]mean
}

// mean is a running mean with the number of observed values.
type mean struct {
	value float64
	n     float64
}

// New returns an empty set of means; weight is the weight of a new value, from 0 to 1.
func New(weight float64) *RunningMeans {
	return &RunningMeans{weight: weight, byKey: map[string]mean{}}
}

// NewFastStart returns an empty set of means that adapt faster to their first values. With
// few observations, a mean of constant weight stays close to its initial value for too
// long.
func NewFastStart(weight, prior float64) *RunningMeans {
	return &RunningMeans{weight: weight, prior: prior, byKey: map[string]mean{}}
}

// Get returns the mean of the key. The first use of a key sets its mean to initial.
func (m *RunningMeans) Get(key string, initial float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.getOrCreate(key, initial).value
}

// Update adds a value to the mean of the key. The function value computes it from the
// current mean.
func (m *RunningMeans) Update(key string, initial float64, value func(mean float64) float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.getOrCreate(key, initial)
	w := m.weight
	if m.prior > 0 {
		w = max(w, 1/(m.prior+v.n+1))
	}
	m.byKey[key] = mean{value: v.value + w*(value(v.value)-v.value), n: v.n + 1}
}

func (m *RunningMeans) getOrCreate(key string, initial float64) mean {
	v, ok := m.byKey[key]
	if !ok {
		v = mean{value: initial}
		m.byKey[key] = v
	}
	return v
}
