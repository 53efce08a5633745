package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fieldvale/adapter/settings"
)

// writeFile writes a settings file and returns its path.
func writeFile(t *testing.T, text string) string {
	p := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// The example files must load without errors.
func TestExamplesAreValid(t *testing.T) {
	if _, e := settings.LoadEntry("../../examples/entry.ini"); len(e) > 0 {
		t.Errorf("entry.ini: got errors %v, want none", e)
	}
	if _, e := settings.LoadControl("../../examples/control.ini"); len(e) > 0 {
		t.Errorf("control.ini: got errors %v, want none", e)
	}
}

// All errors in a file must be reported at once. If only the first were, an operator would
// have to start the process again for each.
func TestReportsAllErrors(t *testing.T) {
	_, e := settings.LoadControl(writeFile(t, `
[control]
id = x
data_centre = dc
peer_listen = nowhere
peer_addr = 127.0.0.1:1
local_listen = host.name:7
admin_listen = 127.0.0.1:2
metrics_listen = 127.0.0.1:3
fleet_key = short
colour = red
[platform]
store = 127.0.0.1:4
list = 127.0.0.1:5
[admin a]
role = king
key_sha256 = 12
[log]
level = loud
[times]
beat = -1s
[rollout]
good_rate = 0.5
bad_rate = 0.1
[weather]
sun = yes
`))
	var g []string
	for _, err := range e {
		g = append(g, err.Error())
	}
	all := strings.Join(g, "\n")
	want := []string{
		`[control] peer_listen: "nowhere" is not IP:PORT`, `[control] local_listen: "host.name:7" is not IP:PORT`,
		`[control] fleet_key: is shorter than 16 bytes`, `[control] colour: unknown key`, `[admin a] role: "king"`,
		`[admin a] key_sha256: is not a hex`, `[log] level: "loud"`, `[times] beat: "-1s"`, `[rollout] bad_rate`, `[weather]: unknown section`,
	}
	for _, w := range want {
		if !strings.Contains(all, w) {
			t.Errorf("got no error with %s, want one", w)
		}
	}
	if len(e) != len(want) {
		t.Errorf("got %d errors, want %d:\n%s", len(e), len(want), all)
	}
}

// A missing required section must be an error.
func TestMissingSections(t *testing.T) {
	_, e := settings.LoadEntry(writeFile(t, "[log]\nlevel = info\n"))
	if len(e) != 2 {
		t.Errorf("got errors %v, want two for missing sections", e)
	}
}

// A file that does not exist must give a single error, not one for each missing section.
func TestMissingFile(t *testing.T) {
	if _, e := settings.LoadEntry("nowhere.ini"); len(e) != 1 {
		t.Errorf("got errors %v, want one", e)
	}
}

// API keys must stay strict unless the file states otherwise: otherwise an instance with an
// unconfirmed configuration would accept revoked keys for longer than honour_for.
func TestKeysAreStrictByDefault(t *testing.T) {
	const node = "[node]\nid = x\ndata_centre = d\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\nmetrics_listen = 127.0.0.1:3\npeers_listen = 127.0.0.1:4\nstore = 127.0.0.1:5\n"
	for _, c := range []struct {
		keys    string
		lenient bool
		valid   bool
	}{
		{"", false, true},
		{"[keys]\nhonour_for = 5s\n", false, true},
		{"[keys]\nstrict = true\n", false, true},
		{"[keys]\nstrict = false\n", true, true},
		{"[keys]\nstrict = perhaps\n", true, false},
	} {
		n, e := settings.LoadNode(writeFile(t, node+c.keys))
		if (len(e) == 0) != c.valid {
			t.Errorf("%q: got errors %v, want valid %t", c.keys, e, c.valid)
		}
		if c.valid && n.LenientKeys != c.lenient {
			t.Errorf("%q: got lenient %t, want %t", c.keys, n.LenientKeys, c.lenient)
		}
	}
}

// An answer buffer must be rejected if it is negative or exceeds the memory of all buffers, and be
// off by default: instances without the setting must serve as before.
func TestAnswerBufferIsChecked(t *testing.T) {
	const node = "[node]\nid = x\ndata_centre = d\nlisten = 127.0.0.1:1\nready_listen = 127.0.0.1:2\nmetrics_listen = 127.0.0.1:3\npeers_listen = 127.0.0.1:4\nstore = 127.0.0.1:5\n[limits]\nmemory_mb = 16\n"
	for _, c := range []struct {
		line string
		want int64
		err  string
	}{
		{"", 0, ""},
		{"answer_buffer_kb = 64\n", 64, ""},
		{"answer_buffer_kb = 1024\n", 1024, ""},
		{"answer_buffer_kb = 1025\n", 0, "[limits] answer_buffer_kb: must be from 0 to 1024, which is 1/16 of memory_mb"},
		{"answer_buffer_kb = -1\n", 0, "[limits] answer_buffer_kb: must be from 0 to 1024"},
		{"answer_buffer_kb = 1.5\n", 0, "[limits] answer_buffer_kb: \"1.5\" is not a whole number"},
	} {
		n, e := settings.LoadNode(writeFile(t, node+c.line))
		switch {
		case c.err == "" && (len(e) > 0 || n.AnswerBufferKB != c.want):
			t.Errorf("%q: got %d and errors %v, want %d and none", c.line, n.AnswerBufferKB, e, c.want)
		case c.err != "" && (len(e) != 1 || !strings.Contains(e[0].Error(), c.err)):
			t.Errorf("%q: got errors %v, want %s", c.line, e, c.err)
		}
	}
}
