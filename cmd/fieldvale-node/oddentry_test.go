package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"fieldvale/platform/sitetest"
)

// entryText is a replica's entry in the store, of which an odd one differs in one value.
const entryText = `{"service":"svc","address":"127.0.0.1:9","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1}`

// oddEntries are entries that no replica writes: by name, the text that is replaced and its replacement.
var oddEntries = []struct{ name, old, new string }{
	{"lists in lists", entryText, nested("[", "]", 10_000)},
	{"more lists in lists than are read", entryText, nested("[", "]", 500_000)},
	{"objects in objects", entryText, nested(`{"a":`, "}", 100_000)},
	{"lists in lists without an end", entryText, strings.Repeat("[", 1<<20)},
	{"lists in lists in a field", `"seq":1`, `"seq":1,"more":` + nested("[", "]", 100_000)},
	{"lists in lists for the start", `"seq":1`, `"seq":1,"born":` + nested("[", "]", 9_000)},
	{"a cold time beyond a float", `"cold_left_ms":0`, `"cold_left_ms":1e400`},
	{"a number of sequence beyond a float", `"seq":1`, `"seq":1e400`},
	{"a number of sequence beyond 64 bits", `"seq":1`, `"seq":18446744073709551616`},
	{"slots beyond a float", `"slots":6`, `"slots":1e400`},
	{"slots beyond 64 bits", `"slots":6`, `"slots":9223372036854775808`},
	{"the most slots of 64 bits", `"slots":6`, `"slots":9223372036854775807`},
	{"slots beyond 32 bits", `"slots":6`, `"slots":4294967297`},
	{"more slots than a server can have", `"slots":6`, `"slots":1000000000`},
	{"a start beyond 64 bits", `"seq":1`, `"seq":1,"born":9223372036854775808`},
	{"a start beyond a float", `"seq":1`, `"seq":1,"born":1e400`},
	{"a number of many digits", `"seq":1`, `"seq":` + strings.Repeat("9", 900_000)},
	{"port 0", ":9", ":0"},
	{"a port below 0", ":9", ":-1"},
	{"port 65536", ":9", ":65536"},
	{"port 1e9", ":9", ":1000000000"},
	{"an empty port", ":9", ":"},
	{"a port that is a word", ":9", ":http"},
	{"an address that is a number", `"127.0.0.1:9"`, "9"},
	{"an address that is a list", `"127.0.0.1:9"`, `["127.0.0.1",9]`},
	{"no host", "127.0.0.1:9", ":9"},
	{"the unspecified host", "127.0.0.1:9", "0.0.0.0:9"},
	{"an address with a zone", "127.0.0.1:9", "[fe80::1%eth0]:9"},
	{"a long version", `"v1"`, `"` + strings.Repeat("v", 900_000) + `"`},
	{"a version with control bytes", `"v1"`, `"v\r\n1"`},
	{"a data centre with control bytes", `"z"`, `"z\u0000"`},
	{"a byte order mark", entryText, "\ufeff" + entryText},
	{"no bytes", entryText, ""},
}

// oddKey is a key that no replica has.
const oddKey = "servers/odd\r\nX-Note: a"

// nested returns a value of so many levels.
func nested(begin, end string, levels int) string {
	return strings.Repeat(begin, levels) + "1" + strings.Repeat(end, levels)
}

// putOdd writes an odd entry.
func (s *testEnv) putOdd(t *testing.T, n int) {
	o := oddEntries[n]
	text := strings.Replace(entryText, o.old, o.new, 1)
	if text == entryText {
		t.Fatalf("%s: the entry is unchanged", o.name)
	}
	s.store.PutBytes(fmt.Sprintf("servers/odd-%d", n), []byte(text))
}

// checkOnlySound checks that the node uses no replica but the sound one, and that this one serves.
func (s *testEnv) checkOnlySound(t *testing.T, when string) {
	for _, r := range s.node.view.Get().Replicas {
		if r.Name != "sound" {
			t.Errorf("%s: replica %s at %s is used, want the sound one only", when, r.Name, r.Addr)
		}
	}
	if a := s.send("POST", "/once/x", "x", apiKeyHeader); a.status != http.StatusOK || a.body != "ok" {
		t.Errorf("%s: got status %d, body %q and error %v, want 200 and ok", when, a.status, a.body, a.err)
	}
}

// Guards against an odd entry among those of the replicas that ends the process, ends its following of the store, or
// takes more than that replica out of use, where it is there when the process starts.
func TestOddEntryAtTheStartCostsItselfAlone(t *testing.T) {
	s := newTestEnv(t)
	for n := range oddEntries {
		s.putOdd(t, n)
	}
	s.store.PutBytes(oddKey, []byte(entryText))
	s.startReplica("sound", "v1")
	s.start()
	s.checkOnlySound(t, "after the start")
}

// Guards against the same where the entry comes later, and changes of the configuration follow it.
func TestOddEntryCostsItselfAlone(t *testing.T) {
	s := newTestEnv(t)
	s.startReplica("sound", "v1")
	s.start()
	s.store.PutBytes(oddKey, []byte(entryText))
	for n, o := range oddEntries {
		s.putOdd(t, n)
		key := fmt.Sprintf("key-%d", n)
		s.store.PutConfig(n+2, "k1", key)
		s.eventually("the configuration after "+o.name+" is in force", func() bool {
			return s.send("POST", "/again/x", "x", sitetest.HeaderAPIKey+": "+key).status == http.StatusOK
		})
		s.checkOnlySound(t, "after "+o.name)
	}
	if n := len(s.logs.String()); n > maxOddLogBytes {
		t.Errorf("%d bytes were logged, want at most %d", n, maxOddLogBytes)
	}
}

// maxOddLogBytes bounds what is logged beside odd entries: a line of bounded length for each of them and each request.
const maxOddLogBytes = 200_000
