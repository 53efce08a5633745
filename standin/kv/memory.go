// Package kv fakes the platform's key-value service: an in-memory store with
// leases and watches. Server exposes it over the JSON form of the etcd v3
// protocol; tests also use it directly.
package kv

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"fieldvale/store"
)

// Memory is an in-memory store. It implements store.Store. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	revision int64
	data     map[string]value
	// changed is closed and replaced at each write, to wake up Wait calls.
	changed chan struct{}
}

// value is the value of one key. A zero expires means no expiry.
type value struct {
	bytes   []byte
	version int64
	expires time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{data: map[string]value{}, changed: make(chan struct{})}
}

// Snapshot is a copy of the store that Restore accepts.
type Snapshot struct {
	revision int64
	data     map[string]value
}

// Snapshot returns a copy of the keys and the revision.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := make(map[string]value, len(m.data))
	for k, v := range m.data {
		d[k] = v
	}
	return Snapshot{m.revision, d}
}

// Restore replaces the keys and the revision by those of a snapshot, as a restore
// from a backup does: the revision goes back and later writes are lost.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = make(map[string]value, len(s.data))
	for k, v := range s.data {
		m.data[k] = v
	}
	m.revision = s.revision
	m.wake()
}

// wake wakes up all Wait calls. m.mu must be held.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// get returns the value of a key and deletes an expired one. m.mu must be held.
func (m *Memory) get(key string) store.Pair {
	v, ok := m.data[key]
	if ok && !v.expires.IsZero() && !time.Now().Before(v.expires) {
		delete(m.data, key)
		ok = false
	}
	if !ok {
		return store.Pair{Key: key}
	}
	return store.Pair{Key: key, Value: v.bytes, Version: v.version}
}

// list returns up to n pairs in descending order of their keys; n = 0 returns all.
// m.mu must be held.
func (m *Memory) list(prefix string, n int) []store.Pair {
	var k []string
	for x := range m.data {
		if strings.HasPrefix(x, prefix) {
			k = append(k, x)
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(k)))
	var r []store.Pair
	for _, x := range k {
		if n > 0 && len(r) == n {
			break
		}
		if p := m.get(x); p.Version != 0 {
			r = append(r, p)
		}
	}
	return r
}

// holds reports whether all guards hold. m.mu must be held.
func (m *Memory) holds(g []store.Guard) bool {
	for _, x := range g {
		if m.get(x.Key).Version != x.Version {
			return false
		}
	}
	return true
}

// put writes a key at the current revision. m.mu must be held.
func (m *Memory) put(w store.Write) {
	m.data[w.Key] = value{bytes: w.Value, version: m.revision, expires: w.Expires}
}

// Get implements store.Store.
func (m *Memory) Get(_ context.Context, key string) (store.Pair, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.get(key), nil
}

// List implements store.Store.
func (m *Memory) List(_ context.Context, prefix string, n int) ([]store.Pair, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list(prefix, n), nil
}

// Commit implements store.Store.
func (m *Memory) Commit(_ context.Context, g []store.Guard, w []store.Write) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds(g) {
		return false, nil
	}
	m.revision++
	for _, x := range w {
		m.put(x)
	}
	m.wake()
	return true, nil
}

// CreateAll implements store.Store.
func (m *Memory) CreateAll(_ context.Context, w []store.Write) ([]store.Pair, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	r := make([]store.Pair, len(w))
	for i, x := range w {
		if m.get(x.Key).Version == 0 {
			m.put(x)
		}
		r[i] = m.get(x.Key)
	}
	m.wake()
	return r, nil
}

// Wait implements store.Store.
func (m *Memory) Wait(ctx context.Context, key string, above int64) (store.Pair, error) {
	for {
		m.mu.Lock()
		p, c := m.get(key), m.changed
		m.mu.Unlock()
		if p.Version > above {
			return p, nil
		}
		select {
		case <-c:
		case <-ctx.Done():
			return store.Pair{}, ctx.Err()
		}
	}
}
