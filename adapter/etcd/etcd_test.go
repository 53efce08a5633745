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

func newStore(t *testing.T) (*etcd.Client, *kv.Server) {
	s := kv.NewServer()
	l, err := serve.On("127.0.0.1:0", s.Handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return etcd.New(l.Addr), s
}

func TestStore(t *testing.T) {
	c, _ := newStore(t)
	x := t.Context()
	p, err := c.Get(x, "/a/1")
	if err != nil || p.Version != 0 {
		t.Fatalf("absent key: %+v, %v", p, err)
	}
	if ok, err := c.Commit(x, []store.Guard{{Key: "/a/1"}}, []store.Write{{Key: "/a/1", Value: []byte("x")}, {Key: "/a/2", Value: []byte{0, 1}}}); err != nil || !ok {
		t.Fatal(ok, err)
	}
	if ok, err := c.Commit(x, []store.Guard{{Key: "/a/1"}}, []store.Write{{Key: "/a/1", Value: []byte("y")}}); err != nil || ok {
		t.Errorf("a guard that does not hold: %t, %v", ok, err)
	}
	l, err := c.List(x, "/a/", 1)
	if err != nil || len(l) != 1 || l[0].Key != "/a/2" || string(l[0].Value) != "\x00\x01" {
		t.Errorf("list: %+v, %v", l, err)
	}
	r, err := c.CreateAll(x, []store.Write{{Key: "/a/1", Value: []byte("mine")}, {Key: "/a/3", Value: []byte("mine"), Expires: time.Now().Add(time.Hour)}})
	if err != nil || len(r) != 2 || string(r[0].Value) != "x" || string(r[1].Value) != "mine" {
		t.Errorf("create: %+v, %v", r, err)
	}
}

func TestWaitSeesTheNextWrite(t *testing.T) {
	c, _ := newStore(t)
	go func() {
		_, _ = c.Commit(context.Background(), nil, []store.Write{{Key: "/k", Value: []byte("v")}})
	}()
	p, err := c.Wait(t.Context(), "/k", 0)
	if err != nil || string(p.Value) != "v" {
		t.Fatalf("%+v, %v", p, err)
	}
	x, cancel := context.WithCancel(t.Context())
	go cancel()
	if _, err := c.Wait(x, "/k", p.Version); err == nil {
		t.Error("a cancelled wait found a write that was not made")
	}
}

// What a failed call leaves open is told truly.
func TestFaults(t *testing.T) {
	for _, f := range []struct {
		name  string
		set   fault.Set
		want  error
		wrote bool
	}{
		{"refuses", fault.Set{Limited: true}, store.ErrUnavailable, false},
		{"hangs up before", fault.Set{Down: true}, store.ErrUnknown, false},
		{"hangs up after", fault.Set{DropAnswers: true}, store.ErrUnknown, true},
	} {
		t.Run(f.name, func(t *testing.T) {
			c, s := newStore(t)
			s.Faults.Put(f.set)
			_, err := c.Commit(t.Context(), nil, []store.Write{{Key: "/k", Value: []byte("v")}})
			if !errors.Is(err, f.want) {
				t.Errorf("%v, want %v", err, f.want)
			}
			p, _ := s.Memory.Get(t.Context(), "/k")
			if (p.Version != 0) != f.wrote {
				t.Errorf("written: %t, want %t", p.Version != 0, f.wrote)
			}
		})
	}
	c := etcd.New("127.0.0.1:1")
	if _, err := c.Get(t.Context(), "/k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("nobody there: %v", err)
	}
}

func TestExpiringKeysShareALease(t *testing.T) {
	c, s := newStore(t)
	at := time.Now().Add(time.Hour)
	for n := range 5 {
		if _, err := c.CreateAll(t.Context(), []store.Write{{Key: fmt.Sprint("/c/", n), Value: []byte("v"), Expires: at}}); err != nil {
			t.Fatal(err)
		}
	}
	if g := s.Writes.Load(); g != 6 {
		t.Errorf("%d writes for 5 keys, want 6: one lease for all", g)
	}
}
