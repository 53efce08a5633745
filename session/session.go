// Package session mints and checks the signed tokens by which a session
// keeps its version. A token carries all that is needed, so any instance can
// honour it with no look-up and no instance has to remember it.
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

// Reasons for which a token is not honoured. Tell them apart with errors.Is.
var (
	ErrMalformed = errors.New("session: token is malformed")
	ErrUnknown   = errors.New("session: token is signed with an unknown key")
	ErrForged    = errors.New("session: token's signature is wrong")
	ErrExpired   = errors.New("session: token has expired")
)

// MaxToken is the longest token that is read, in bytes.
const MaxToken = 2048

// Session is what a token says. Pins hold one version for each model.
type Session struct {
	ID       string
	Customer string
	Expires  time.Time
	Pins     []version.ID
}

// New returns a session with no pins.
func New(id, customer string, expires time.Time) Session {
	return Session{ID: id, Customer: customer, Expires: expires}
}

// Pin returns the version that the session keeps for the model.
func (s Session) Pin(model string) (version.ID, bool) {
	for _, p := range s.Pins {
		if p.Model == model {
			return p, true
		}
	}
	return version.ID{}, false
}

// WithPin returns s pinned to v in place of any other version of its model.
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

// Key signs tokens.
type Key struct {
	ID     string
	Secret []byte
}

// Ring holds the keys whose tokens are honoured; the first one signs. Rotation
// puts a new key first and keeps the old ones until their tokens have expired.
type Ring struct {
	keys []Key
}

// NewRing returns a ring of the keys, the signing one first.
func NewRing(k ...Key) Ring {
	return Ring{keys: k}
}

const fieldSeparator = "|"

// Mint returns the signed token of s. A ring without keys mints none.
func (r Ring) Mint(s Session) string {
	if len(r.keys) == 0 {
		return ""
	}
	k := r.keys[0]
	b := encode(s)
	return k.ID + "." + b64(b) + "." + b64(sign(k, b))
}

// Open checks a token and returns what it says. now decides expiry.
func (r Ring) Open(token string, now time.Time) (Session, error) {
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
	k, ok := r.find(f[0])
	if !ok {
		return Session{}, ErrUnknown
	}
	if !hmac.Equal(m, sign(k, b)) {
		return Session{}, ErrForged
	}
	return checkExpiry(b, now)
}

func checkExpiry(b []byte, now time.Time) (Session, error) {
	s, err := decode(string(b))
	if err != nil {
		return Session{}, err
	}
	if !now.Before(s.Expires) {
		return Session{}, ErrExpired
	}
	return s, nil
}

func (r Ring) find(id string) (Key, bool) {
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

func b64(b []byte) string {
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

// secretBytes is the length of a new key's secret.
const secretBytes = 32

// NewKey returns a key with a new random secret.
func NewKey() Key {
	b := make([]byte, secretBytes)
	// crypto/rand.Read never fails: it ends the program instead.
	_, _ = rand.Read(b)
	return Key{ID: uuid.NewString()[:8], Secret: b}
}
