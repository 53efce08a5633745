package session_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fieldvale/session"
	"fieldvale/standin/seed"
	"fieldvale/version"
)

var _ = seed.Fix()

var (
	key1 = session.Key{ID: "k1", Secret: []byte("one")}
	key2 = session.Key{ID: "k2", Secret: []byte("two")}
	now  = time.Unix(1_700_000_000, 0)
)

func drawSession(t *rapid.T) session.Session {
	id := rapid.StringMatching(`[a-z0-9/-]{1,20}`)
	s := session.New(id.Draw(t, "id"), id.Draw(t, "customer"), now.Add(time.Duration(rapid.IntRange(1, 1e6).Draw(t, "life"))*time.Second))
	for range rapid.IntRange(0, 4).Draw(t, "pins") {
		s = s.WithPin(version.New(id.Draw(t, "model"), id.Draw(t, "version")))
	}
	return s
}

// A token must return the session it was issued for, also after its key was rotated
// to a later place in the ring. It must be rejected once its key has been removed or
// the session has expired.
func TestTokenRoundTripAcrossRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSession(t)
		token := session.NewKeyRing(key1).Issue(s)
		for _, r := range []session.KeyRing{session.NewKeyRing(key1), session.NewKeyRing(key2, key1)} {
			got, err := r.Verify(token, now)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(s, got); d != "" {
				t.Fatal(d)
			}
		}
		if _, err := session.NewKeyRing(key2).Verify(token, now); !errors.Is(err, session.ErrUnknownKey) {
			t.Fatalf("token of a removed key: got error %v, want ErrUnknownKey", err)
		}
		if _, err := session.NewKeyRing(key1).Verify(token, s.Expires); !errors.Is(err, session.ErrExpired) {
			t.Fatalf("expired token: got error %v, want ErrExpired", err)
		}
	})
}

// Guards against forged sessions: a token with one byte changed must not open as a
// different session.
func TestModifiedTokenIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSession(t)
		r := session.NewKeyRing(key1)
		b := []byte(r.Issue(s))
		i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		c := rapid.ByteRange('!', '~').Draw(t, "byte")
		if b[i] == c {
			return
		}
		b[i] = c
		got, err := r.Verify(string(b), now)
		if err == nil && !cmp.Equal(s, got) {
			t.Fatalf("modified token %q opened as %+v, want an error or the original session", b, got)
		}
	})
}

func FuzzOpen(f *testing.F) {
	f.Add(session.NewKeyRing(key1).Issue(session.New("s", "c", now)))
	f.Add("k1..")
	f.Add("..")
	f.Fuzz(func(t *testing.T, token string) {
		_, _ = session.NewKeyRing(key1).Verify(token, now)
	})
}
