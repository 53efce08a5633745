// Package session issues and verifies the signed tokens that pin a session to
// model versions. A token contains the whole session, so any instance can accept
// it without a look-up and no instance stores session state.
package session

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"fieldvale/version"
)

// Reasons for which a token is rejected, to be matched with errors.Is.
var (
	ErrMalformed    = errors.New("session: token is malformed")
	ErrUnknownKey   = errors.New("session: token is signed with an unknown key")
	ErrBadSignature = errors.New("session: token's signature is wrong")
	ErrExpired      = errors.New("session: token has expired")
)

// MaxToken is the maximum length of a token in bytes; longer ones are rejected as
// malformed.
const MaxToken = 2048

// Session is the content of a token. Pins has at most one version of each model.
type Session struct {
	ID       string
	Customer string
	Expires  time.Time
	Pins     []version.ID
}

// New returns a session without pins.
func New(id, customer string, expires time.Time) Session {
	return Session{ID: id, Customer: customer, Expires: expires}
}

// Pin returns the version of the model to which the session is pinned.
func (s Session) Pin(model string) (version.ID, bool) {
	for _, p := range s.Pins {
		if p.Model == model {
			return p, true
		}
	}
	return version.ID{}, false
}

// WithPin returns a copy of s that is pinned to v instead of any other version of
// the same model.
func (s Session) WithPin(v version.ID) Session {
	n := make([]version.ID, 0, len(s.Pins)+1)
	for _, p := range s.Pins {
		if p.Model != v.Model {
			n = append(n, p)
		}
	}
	s.Pins = append(n, v)
	return s
}

// Key is a secret that signs tokens, with the id under which tokens refer to it.
type Key struct {
	ID     string
	Secret []byte
}

// KeyRing holds signing keys. Tokens of all its keys are accepted; new tokens are
// signed with the first. A rotation inserts a new key at the front and keeps the old ones
// until their tokens have expired.
type KeyRing struct {
	keys []Key
}

// NewKeyRing returns a ring with the given keys, the signing key first.
func NewKeyRing(k ...Key) KeyRing {
	return KeyRing{keys: k}
}

const fieldSeparator = "|"

// Issue returns the signed token of s, or "" if the ring has no keys.
func (r KeyRing) Issue(s Session) string {
	if len(r.keys) == 0 {
		return ""
	}
	k := r.keys[0]
	b := encode(s)
	return k.ID + "." + encodeBase64(b) + "." + encodeBase64(sign(k, b))
}

// Verify verifies a token and returns its session. A token has expired if its
// expiry time is not after now.
func (r KeyRing) Verify(token string, now time.Time) (Session, error) {
	f := strings.Split(token, ".")
	if len(token) > MaxToken || len(f) != 3 {
		return Session{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.DecodeString(f[1])
	if err != nil {
		return Session{}, ErrMalformed
	}
	m, err := base64.RawURLEncoding.DecodeString(f[2])
	if err != nil {
		return Session{}, ErrMalformed
	}
	k, ok := r.findKey(f[0])
	if !ok {
		return Session{}, ErrUnknownKey
	}
	if !hmac.Equal(m, sign(k, b)) {
		return Session{}, ErrBadSignature
	}
	return decodeUnexpired(b, now)
}

func decodeUnexpired(b []byte, now time.Time) (Session, error) {
	s, err := decode(string(b))
	if err != nil {
		return Session{}, err
	}
	if !now.Before(s.Expires) {
		return Session{}, ErrExpired
	}
	return s, nil
}

func (r KeyRing) findKey(id string) (Key, bool) {
	for _, k := range r.keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

func sign(k Key, b []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write(b)
	return h.Sum(nil)
}

func encodeBase64(b []byte) string {
	return base64.RawURLEncoding.EncodeToString(b)
}

func encode(s Session) []byte {
	f := []string{s.ID, s.Customer, strconv.FormatInt(s.Expires.Unix(), 10)}
	for _, p := range s.Pins {
		f = append(f, p.String())
	}
	return []byte(strings.Join(f, fieldSeparator))
}

func decode(t string) (Session, error) {
	f := strings.Split(t, fieldSeparator)
	if len(f) < 3 {
		return Session{}, ErrMalformed
	}
	n, err := strconv.ParseInt(f[2], 10, 64)
	if err != nil {
		return Session{}, ErrMalformed
	}
	s := New(f[0], f[1], time.Unix(n, 0))
	for _, x := range f[3:] {
		v, err := version.Parse(x)
		if err != nil {
			return Session{}, ErrMalformed
		}
		s.Pins = append(s.Pins, v)
	}
	return s, nil
}

// secretBytes is the length of a generated secret.
const secretBytes = 32

// NewKey returns a key with a random id and secret.
func NewKey() Key {
	b := make([]byte, secretBytes)
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b)
	return Key{ID: uuid.NewString()[:8], Secret: b}
}
