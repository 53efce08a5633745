package session_test

import (
	"fmt"
	"time"

	"fieldvale/session"
	"fieldvale/version"
)

func ExampleKeyRing() {
	r := session.NewKeyRing(session.Key{ID: "k1", Secret: []byte("secret")})
	t := r.Issue(session.New("doc-7", "skye-strings", time.Unix(2000, 0)).WithPin(version.New("lingua", "3")))
	s, err := r.Verify(t, time.Unix(1000, 0))
	fmt.Println(s.Customer, s.Pins, err)
	// Output: skye-strings [lingua@3] <nil>
}
