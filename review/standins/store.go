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

// item is a key of the store, in the format of the platform's pages.
type item struct {
	Key       string `json:"tls_key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// pageEntries bounds the entries of one page of a range.
const pageEntries = 500

// historySpan is how long changes are kept for watches.
const historySpan = 20 * time.Second

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// kv is a stand-in of the platform's metadata store.
type kv struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	floor    int64
	revision int64
	leases   map[int64]*leaseState
	next     int64
	changed  chan struct{}
}

func newKV() *kv {
	s := &kv{items: map[string]item{}, leases: map[int64]*leaseState{}, revision: 1, changed: make(chan struct{})}
	go s.expire()
	return s
}

// expire ends leases and drops old history.
func (s *kv) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historySpan {
			s.floor = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *kv) endLease(id int64) {
	delete(s.leases, id)
	for k, x := range s.items {
		if x.Lease == id {
			s.remove(k)
		}
	}
}

func (s *kv) log(x item) {
	x.at = time.Now()
	s.history = append(s.history, x)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kv) put(key string, value []byte, lease int64) {
	s.revision++
	x := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if o, ok := s.items[key]; ok {
		x.Created = o.Created
	}
	s.items[key] = x
	s.log(x)
}

func (s *kv) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log(item{Key: key, Revision: s.revision, Tombstone: true})
}

// Put writes a key as the operator or a replica does. Its return is the acknowledgement.
func (s *kv) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
}

// Has reports whether the key exists.
func (s *kv) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// asOf returns the items and the revision as they stood that long ago, as far as the history goes.
func (s *kv) asOf(lag time.Duration) (map[string]item, int64) {
	if lag <= 0 {
		return s.items, s.revision
	}
	limit := time.Now().Add(-lag)
	m := map[string]item{}
	recent := map[string]bool{}
	for _, x := range s.history {
		recent[x.Key] = true
	}
	for k, x := range s.items {
		if !recent[k] {
			m[k] = x
		}
	}
	r := s.floor
	for _, x := range s.history {
		if x.at.After(limit) {
			break
		}
		r = x.Revision
		if x.Tombstone {
			delete(m, x.Key)
			continue
		}
		m[x.Key] = x
	}
	return m, r
}

// view is the store as one machine reaches it.
type view struct {
	s *kv
	// staleBy returns how old an answer to a read with allow_stale is now.
	staleBy func() time.Duration
	addr    string
}

// listen serves the store on a loopback address of its own.
func (s *kv) listen(staleBy func() time.Duration) (*view, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{s: s, staleBy: staleBy, addr: l.Addr().String()}
	go http.Serve(l, v)
	return v, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch p := r.URL.Path; {
	case p == "/-/kv-range":
		v.serveRange(w, r)
	case p == "/-/kv-watch":
		v.serveWatch(w, r)
	case p == "/-/kv-key":
		v.serveKey(w, r)
	case p == "/-/kv-txn":
		v.serveTxn(w, r)
	case p == "/-/kv-lease":
		v.serveLease(w, r)
	case strings.HasPrefix(p, "/-/kv-keep/"):
		v.serveKeep(w, strings.TrimPrefix(p, "/-/kv-keep/"))
	case strings.HasPrefix(p, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(p, "/-/kv-lease-end/"), 10, 64)
		v.s.mu.Lock()
		v.s.endLease(id)
		v.s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (v *view) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	lag := time.Duration(0)
	if q.Get("allow_stale") == "1" && v.staleBy != nil {
		lag = v.staleBy()
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	m, rev := v.s.asOf(lag)
	l := []item{}
	for k, x := range m {
		if strings.HasPrefix(k, q.Get("path_prefix")) && k > q.Get("after_rev") {
			l = append(l, x)
		}
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	more := len(l) > pageEntries
	if more {
		l = l[:pageEntries]
	}
	reply(w, http.StatusOK, map[string]any{"entries": l, "truncated": more, "current_rev": rev})
}

func (v *view) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after_rev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		v.s.mu.Lock()
		l := []item{}
		for _, x := range v.s.history {
			if x.Revision > after && strings.HasPrefix(x.Key, q.Get("path_prefix")) {
				l = append(l, x)
			}
		}
		gone, at, c := after < v.s.floor, v.s.revision, v.s.changed
		v.s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		if len(l) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": l, "current_rev": at})
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

func (v *view) serveKey(w http.ResponseWriter, r *http.Request) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	x, ok := v.s.items[r.URL.Query().Get("tls_key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": v.s.revision})
		return
	}
	reply(w, http.StatusOK, x)
}

type txn struct {
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

func (v *view) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	for _, e := range t.Expected {
		if v.s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{v.s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && v.s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		v.s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		v.s.remove(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": v.s.revision})
}

func (v *view) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, q.TTLMs)) * time.Millisecond
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	v.s.next++
	v.s.leases[v.s.next] = &leaseState{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": v.s.next, "ttl_ms": ttl.Milliseconds()})
}

func (v *view) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	l := v.s.leases[n]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
