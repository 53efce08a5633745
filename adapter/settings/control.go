package settings

import (
	"encoding/hex"
	"time"

	"fieldvale/adapter/inifile"
	"fieldvale/adapter/rpc"
	"fieldvale/control"
	"fieldvale/rollout"
)

// Control is the settings of a fieldvale-control.
type Control struct {
	ID         string
	DataCentre string
	// PeerListen is for other instances, who reach it at PeerAddr.
	PeerListen  string
	PeerAddr    string
	LocalListen string
	AdminListen string
	Metrics     string
	FleetKey    string
	Store       string
	List        string
	TLS         TLS
	Level       string
	Admins      []rpc.Admin
	Times       control.Times
	Rates       rollout.Rates
	// StopWithin is the longest that a planned stop waits to hand over bills
	// that nobody else has.
	StopWithin time.Duration
}

// LoadControl reads and checks a control's file.
func LoadControl(path string) (Control, []error) {
	c := Control{Level: defaultLevel, Times: control.DefaultTimes(), Rates: rollout.DefaultRates()}
	f, err := load(path)
	if err != nil {
		return c, []error{err}
	}
	found := false
	f.Each([]string{"control", "tls", "platform", "log", "admin", "times", "rollout"}, func(s *inifile.Section) {
		switch s.Kind {
		case "control":
			found = true
			c.read(s)
		case "tls":
			c.TLS = readTLS(s)
		case "platform":
			c.Store = address(s, "store")
			c.List = address(s, "list")
		case "log":
			c.Level = readLevel(s)
		case "admin":
			c.Admins = append(c.Admins, readAdmin(s))
		case "times":
			c.Times = readTimes(s)
		case "rollout":
			c.Rates = readRates(s)
		}
	})
	if !found {
		f.Missing("control")
	}
	if c.Store == "" {
		f.Missing("platform")
	}
	return c, f.Errors()
}

func (c *Control) read(s *inifile.Section) {
	c.ID = s.Need("id")
	c.DataCentre = s.Need("data_centre")
	c.PeerListen = address(s, "peer_listen")
	c.PeerAddr = address(s, "peer_addr")
	c.LocalListen = address(s, "local_listen")
	c.AdminListen = address(s, "admin_listen")
	c.Metrics = address(s, "metrics_listen")
	c.FleetKey = readFleetKey(s)
	c.StopWithin = s.Span("stop_within", defaultStopWithin)
}

const sumLength = 32

func readAdmin(s *inifile.Section) rpc.Admin {
	a := rpc.Admin{Name: s.Name, Team: s.Text("team"), Role: rpc.Role(s.Need("role")), KeyHash: s.Need("key_sha256")}
	switch a.Role {
	case rpc.Platform:
	case rpc.Viewer, rpc.Operator:
		if a.Team == "" {
			s.Fail("team", "is missing")
		}
	default:
		s.Fail("role", "%q is not viewer, operator or platform", a.Role)
	}
	if b, err := hex.DecodeString(a.KeyHash); err != nil || len(b) != sumLength {
		s.Fail("key_sha256", "is not a hex SHA-256 sum")
	}
	return a
}

func readTimes(s *inifile.Section) control.Times {
	d := control.DefaultTimes()
	return control.Times{
		Exchange:    s.Span("exchange", d.Exchange),
		Beat:        s.Span("beat", d.Beat),
		BeatPerPeer: s.Span("beat_per_peer", d.BeatPerPeer),
		List:        s.Span("list", d.List),
		Load:        s.Span("load", d.Load),
		Poll:        s.Span("poll", d.Poll),
		Flush:       s.Span("flush", d.Flush),
		Orphan:      s.Span("orphan", d.Orphan),
		Takeover:    s.Span("takeover", d.Takeover),
		Call:        s.Span("call", d.Call),
	}
}

func readRates(s *inifile.Section) rollout.Rates {
	d := rollout.DefaultRates()
	r := rollout.Rates{
		Good:       s.Fraction("good_rate", d.Good),
		Bad:        s.Fraction("bad_rate", d.Bad),
		FalseAlarm: s.Fraction("false_alarm", d.FalseAlarm),
	}
	if r.Good <= 0 || r.Bad <= r.Good || r.Bad >= 1 {
		s.Fail("bad_rate", "rates must be 0 < good_rate < bad_rate < 1")
	}
	if r.FalseAlarm <= 0 || r.FalseAlarm >= 1 {
		s.Fail("false_alarm", "must be between 0 and 1")
	}
	return r
}
