package etcd_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/etcd"
	"fieldvale/standin/fault"
	"fieldvale/standin/kv"
	"fieldvale/standin/serve"
	"fieldvale/store"
)

// newStore returns a client of a new stand-in for the key-value service.
func newStore(t *testing.T) (*etcd.Client, *kv.Server) {
	s := kv.NewServer()
	l, err := serve.Listen("127.0.0.1:0", s.Handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return etcd.New(l.Addr), s
}

// Reads, guarded commits and CreateAll must have the semantics that store.Store requires: a
// commit whose guard fails, or a create of an existing key, must not overwrite a value.
func TestStore(t *testing.T) {
	c, _ := newStore(t)
	x := t.Context()
	p, err := c.Get(x, "/a/1")
	if err != nil || p.Version != 0 {
		t.Fatalf("missing key: got %+v and error %v, want version 0 and no error", p, err)
	}
	if ok, err := c.Commit(x, []store.Guard{{Key: "/a/1"}}, []store.Write{{Key: "/a/1", Value: []byte("x")}, {Key: "/a/2", Value: []byte{0, 1}}}); err != nil || !ok {
		t.Fatalf("got committed %t and error %v, want true and no error", ok, err)
	}
	if ok, err := c.Commit(x, []store.Guard{{Key: "/a/1"}}, []store.Write{{Key: "/a/1", Value: []byte("y")}}); err != nil || ok {
		t.Errorf("failing guard: got committed %t and error %v, want false and no error", ok, err)
	}
	l, err := c.List(x, "/a/", 1)
	if err != nil || len(l) != 1 || l[0].Key != "/a/2" || string(l[0].Value) != "\x00\x01" {
		t.Errorf("list: got %+v and error %v, want only /a/2 and no error", l, err)
	}
	r, err := c.CreateAll(x, []store.Write{{Key: "/a/1", Value: []byte("mine")}, {Key: "/a/3", Value: []byte("mine"), Expires: time.Now().Add(time.Hour)}})
	if err != nil || len(r) != 2 || string(r[0].Value) != "x" || string(r[1].Value) != "mine" {
		t.Errorf("create: got %+v and error %v, want the old value of /a/1, the new one of /a/3 and no error", r, err)
	}
}

// Wait must return the first write after the given version, also one that was made before the
// watch was open, and must end with an error if its context is cancelled.
func TestWaitReturnsNextWrite(t *testing.T) {
	c, _ := newStore(t)
	go func() {
		_, _ = c.Commit(context.Background(), nil, []store.Write{{Key: "/k", Value: []byte("v")}})
	}()
	p, err := c.Wait(t.Context(), "/k", 0)
	if err != nil || string(p.Value) != "v" {
		t.Fatalf("got %+v and error %v, want value v and no error", p, err)
	}
	x, cancel := context.WithCancel(t.Context())
	go cancel()
	if _, err := c.Wait(x, "/k", p.Version); err == nil {
		t.Error("cancelled wait: got no error, want one")
	}
}

// A failed commit must be ErrUnavailable only if nothing was written. Otherwise a caller would
// take a write that was applied for one that was not.
func TestFaults(t *testing.T) {
	for _, f := range []struct {
		name  string
		set   fault.Set
		want  error
		wrote bool
	}{
		{"refused", fault.Set{Limited: true}, store.ErrUnavailable, false},
		{"connection closed before the write", fault.Set{Down: true}, store.ErrUnknown, false},
		{"connection closed after the write", fault.Set{DropResponses: true}, store.ErrUnknown, true},
	} {
		t.Run(f.name, func(t *testing.T) {
			c, s := newStore(t)
			s.Faults.Put(f.set)
			_, err := c.Commit(t.Context(), nil, []store.Write{{Key: "/k", Value: []byte("v")}})
			if !errors.Is(err, f.want) {
				t.Errorf("got error %v, want %v", err, f.want)
			}
			p, _ := s.Memory.Get(t.Context(), "/k")
			if (p.Version != 0) != f.wrote {
				t.Errorf("got written %t, want %t", p.Version != 0, f.wrote)
			}
		})
	}
	c := etcd.New("127.0.0.1:1")
	if _, err := c.Get(t.Context(), "/k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("no listener: got error %v, want ErrUnavailable", err)
	}
}

// Keys with the same expiry must share one lease. With a lease for each, a claim would need two
// writes.
func TestExpiringKeysShareALease(t *testing.T) {
	c, s := newStore(t)
	at := time.Now().Add(time.Hour)
	for n := range 5 {
		if _, err := c.CreateAll(t.Context(), []store.Write{{Key: fmt.Sprint("/c/", n), Value: []byte("v"), Expires: at}}); err != nil {
			t.Fatal(err)
		}
	}
	if g := s.Writes.Load(); g != 6 {
		t.Errorf("got %d writes for 5 keys, want 6: one for each key and one for the lease", g)
	}
}
