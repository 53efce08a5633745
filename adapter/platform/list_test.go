package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fieldvale/adapter/httpconn"
	"fieldvale/adapter/platform"
)

// soundEntries are entries of a list: an instance and a backend server.
const soundEntries = `{"id":"n1","addr":"127.0.0.1:1","kind":"fieldvale"},{"id":"e1","addr":"127.0.0.1:2","kind":"engine","slots":4}`

// oddEntry returns the entry of a backend server with one odd value.
func oddEntry(old, odd string) string {
	return strings.Replace(`{"id":"odd","addr":"127.0.0.1:3","kind":"engine","slots":4}`, old, odd, 1)
}

// list fetches a list from a server that answers with the text.
func list(t *testing.T, text string) (platform.InstanceList, error) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }))
	t.Cleanup(s.Close)
	return platform.New(httpconn.New(), s.Listener.Addr().String(), "").Instances(t.Context())
}

// Guards against an odd entry of the list that ends the process, or takes the others out of use.
func TestOddEntryOfTheListCostsItselfAlone(t *testing.T) {
	const levels = 1_000_000
	nested := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	for name, odd := range map[string]string{
		"lists in lists":                  nested,
		"lists in lists in a field":       oddEntry(`"slots":4`, `"slots":4,"more":`+nested),
		"slots beyond a float":            oddEntry(`"slots":4`, `"slots":1e400`),
		"slots beyond 64 bits":            oddEntry(`"slots":4`, `"slots":9223372036854775808`),
		"the most slots of 64 bits":       oddEntry(`"slots":4`, `"slots":9223372036854775807`),
		"slots below 0":                   oddEntry(`"slots":4`, `"slots":-1`),
		"slots as text":                   oddEntry(`"slots":4`, `"slots":"4"`),
		"port 0":                          oddEntry(":3", ":0"),
		"a port below 0":                  oddEntry(":3", ":-1"),
		"port 65536":                      oddEntry(":3", ":65536"),
		"port 1e9":                        oddEntry(":3", ":1000000000"),
		"a port that is a word":           oddEntry(":3", ":http"),
		"no port":                         oddEntry(":3", ""),
		"an address that is a number":     oddEntry(`"127.0.0.1:3"`, "3"),
		"an address with a line break":    oddEntry("127.0.0.1", `a\r\nb`),
		"no id":                           oddEntry(`"id":"odd",`, ""),
		"an id with a line break":         oddEntry(`"odd"`, `"a\r\nb"`),
		"an instance of ours with port 0": `{"id":"odd","addr":"127.0.0.1:0","kind":"fieldvale"}`,
		"a number":                        "1e400",
		"null":                            "null",
		"a list":                          `["odd"]`,
		"braces and brackets in text":     oddEntry(`"slots":4`, `"slots":"]}"`),
	} {
		for _, text := range []string{odd + "," + soundEntries, soundEntries + "," + odd} {
			l, err := list(t, `{"instances":[`+text+`]}`)
			if err != nil || len(l.Members) != 1 || len(l.Replicas) != 1 || l.Replicas[0].ID != "e1" {
				t.Errorf("%s: got %d instances, %d servers and error %.200v, want the two sound entries", name, len(l.Members), len(l.Replicas), err)
			}
			if len(l.Invalid) != 1 {
				t.Errorf("%s: got %d invalid entries, want 1", name, len(l.Invalid))
			}
		}
	}
}

// Guards against a part of a list that is taken for all of it.
func TestPartOfTheListIsNone(t *testing.T) {
	whole := `{"instances":[` + soundEntries + `]}`
	if l, err := list(t, whole); err != nil || len(l.Members) != 1 || len(l.Replicas) != 1 || len(l.Invalid) != 0 {
		t.Fatalf("the whole list: got %+v and error %v, want two entries", l, err)
	}
	for n := range len(whole) - len("]}") {
		if l, err := list(t, whole[:n]); err == nil {
			t.Fatalf("%s: got %+v, want an error", whole[:n], l)
		}
	}
	for _, text := range []string{"", "{}", "null", `{"instances":null}`, `{"instances":{}}`, `{"instances":1}`} {
		if l, err := list(t, text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, l)
		}
	}
	if l, err := list(t, `{"instances":[]}`); err != nil || len(l.Members)+len(l.Replicas)+len(l.Invalid) != 0 {
		t.Errorf("an empty list: got %+v and error %v, want none", l, err)
	}
}
