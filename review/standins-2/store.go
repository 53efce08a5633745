package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the platform's metadata store, in the format of its pages.
type item struct {
	Key       string `json:"tls_key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It answers after 4 ms, as the sheet says, and forgets no
// history.
type store struct {
	addr string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*leaseState
	lastID   int64
	changed  chan struct{}
}

// answerTime is the time of one answer of the store.
const answerTime = 4 * time.Millisecond

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), items: map[string]item{}, revision: 1, leases: map[int64]*leaseState{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	go s.expireLeases()
	return s, nil
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, b, 0)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(key)
}

// has reports whether the key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) set(key string, value []byte, lease int64) {
	s.revision++
	x := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if o, ok := s.items[key]; ok {
		x.Created = o.Created
	}
	s.items[key] = x
	s.record(x)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(x item) {
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, x := range s.items {
		if x.Lease == id {
			s.unset(k)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch p := r.URL.Path; {
	case p == "/-/kv-range":
		s.serveRange(w, r)
	case p == "/-/kv-watch":
		s.serveWatch(w, r)
	case p == "/-/kv-key":
		s.serveKey(w, r)
	case p == "/-/kv-txn":
		s.serveTxn(w, r)
	case p == "/-/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(p, "/-/kv-keep/"):
		s.serveKeep(w, p[len("/-/kv-keep/"):])
	case strings.HasPrefix(p, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(p[len("/-/kv-lease-end/"):], 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	l := []item{}
	for k, x := range s.items {
		if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after_rev") {
			l = append(l, x)
		}
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	answer(w, http.StatusOK, map[string]any{"entries": l, "truncated": false, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_rev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		s.mu.Lock()
		l := []item{}
		for _, x := range s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, q.Get("path_prefix")) {
				l = append(l, x)
			}
		}
		now, c := s.revision, s.changed
		s.mu.Unlock()
		if len(l) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": l, "current_rev": now})
			return
		}
		select {
		case <-c:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.items[r.URL.Query().Get("tls_key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	answer(w, http.StatusOK, x)
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"tls_key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"tls_key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range t.Expected {
		if s.items[x.Key].Revision != x.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[x.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.unset(k)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, q.TTLMs)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &leaseState{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[n]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
