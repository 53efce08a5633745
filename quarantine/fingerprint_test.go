package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	"fieldvale/quarantine"
)

// A retry has the same content under another request id, and so the same fingerprint.
func ExampleRequestContent_Fingerprint() {
	first := quarantine.RequestContent{Caller: "inverness-loc", Method: "POST", Host: "lm", Target: "/suggest/?x=1", Body: []byte("{}")}
	retry, other := first, first
	other.Caller = "borders-loc"
	fmt.Println(first.Fingerprint() == retry.Fingerprint(), first.Fingerprint() == other.Fingerprint())
	// Output: true false
}

// Guards against two contents with the same fingerprint: if one of them were held, requests with the
// other would be refused too.
func TestFingerprintsDiffer(t *testing.T) {
	c := quarantine.RequestContent{Caller: "a", Method: "POST", Host: "h", Target: "/p", Body: bytes.Repeat([]byte("x"), 4<<20)}
	for name, o := range map[string]quarantine.RequestContent{
		"another caller":          {Caller: "b", Method: c.Method, Host: c.Host, Target: c.Target, Body: c.Body},
		"another parameter":       {Caller: c.Caller, Method: c.Method, Host: c.Host, Target: "/p?a=1", Body: c.Body},
		"another host":            {Caller: c.Caller, Method: c.Method, Host: "i", Target: c.Target, Body: c.Body},
		"no body":                 {Caller: c.Caller, Method: c.Method, Host: c.Host, Target: c.Target},
		"a byte in another field": {Caller: "aP", Method: "OST", Host: c.Host, Target: c.Target, Body: c.Body},
		"another last byte":       {Caller: c.Caller, Method: c.Method, Host: c.Host, Target: c.Target, Body: append(c.Body[:len(c.Body)-1:len(c.Body)-1], 'y')},
	} {
		if o.Fingerprint() == c.Fingerprint() {
			t.Errorf("%s: got the same fingerprint, want another one", name)
		}
	}
}

func TestParseFingerprint(t *testing.T) {
	f := quarantine.RequestContent{Body: []byte("b")}.Fingerprint()
	if g, err := quarantine.ParseFingerprint(f.String()); err != nil || g != f {
		t.Errorf("got %s, %v, want %s", g, err, f)
	}
	for _, bad := range []string{"", "00", f.String() + "00", "g" + f.String()[1:]} {
		if _, err := quarantine.ParseFingerprint(bad); err == nil {
			t.Errorf("%q: got no error, want one", bad)
		}
	}
}
