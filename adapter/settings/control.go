package settings

import (
	"encoding/hex"
	"time"

	"fieldvale/adapter/inifile"
	"fieldvale/adapter/rpc"
	"fieldvale/control"
	"fieldvale/rollout"
)

// Control holds the settings of a fieldvale-control process.
type Control struct {
	ID         string
	DataCentre string
	// PeerListen is the listen address for other instances, and PeerAddr the address at
	// which they reach it.
	PeerListen string
	PeerAddr   string
	// LocalListen is the listen address for the entry on the same host.
	LocalListen string
	// AdminListen is the listen address of the administration API.
	AdminListen string
	// MetricsListen is the listen address for metrics.
	MetricsListen string
	FleetKey      string
	// StoreAddr is the address of the store.
	StoreAddr string
	// ListAddr is the address of the platform's list of replicas and instances.
	ListAddr string
	TLS      TLS
	// Level is the least severe level that is logged.
	Level  string
	Admins []rpc.Admin
	Times  control.Times
	Rates  rollout.Rates
	// StopTimeout bounds how long a planned stop waits to hand over bill records that
	// neither the store nor another instance has.
	StopTimeout time.Duration
}

// LoadControl reads and checks the settings file of a fieldvale-control process. It returns all
// errors in the file.
func LoadControl(path string) (Control, []error) {
	c := Control{Level: defaultLevel, Times: control.DefaultTimes(), Rates: rollout.DefaultRates()}
	f, err := loadFile(path)
	if err != nil {
		return c, []error{err}
	}
	found := false
	f.Each([]string{"control", "tls", "platform", "log", "admin", "times", "rollout"}, func(s *inifile.Section) {
		switch s.Kind {
		case "control":
			found = true
			c.readControl(s)
		case "tls":
			c.TLS = readTLS(s)
		case "platform":
			c.StoreAddr = readAddress(s, "store")
			c.ListAddr = readAddress(s, "list")
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
		f.AddMissingSection("control")
	}
	if c.StoreAddr == "" {
		f.AddMissingSection("platform")
	}
	return c, f.Errors()
}

// readControl reads the control section.
func (c *Control) readControl(s *inifile.Section) {
	c.ID = s.Required("id")
	c.DataCentre = s.Required("data_centre")
	c.PeerListen = readAddress(s, "peer_listen")
	c.PeerAddr = readAddress(s, "peer_addr")
	c.LocalListen = readAddress(s, "local_listen")
	c.AdminListen = readAddress(s, "admin_listen")
	c.MetricsListen = readAddress(s, "metrics_listen")
	c.FleetKey = readFleetKey(s)
	c.StopTimeout = s.Duration("stop_within", defaultStopTimeout)
}

// sha256Length is the length of a SHA-256 sum, in bytes.
const sha256Length = 32

// readAdmin reads the section of one administration key.
func readAdmin(s *inifile.Section) rpc.Admin {
	a := rpc.Admin{Name: s.Name, Team: s.Value("team"), Role: rpc.Role(s.Required("role")), KeyHash: s.Required("key_sha256")}
	switch a.Role {
	case rpc.Platform:
	case rpc.Viewer, rpc.Operator:
		if a.Team == "" {
			s.AddError("team", "is missing")
		}
	default:
		s.AddError("role", "%q is not viewer, operator or platform", a.Role)
	}
	if b, err := hex.DecodeString(a.KeyHash); err != nil || len(b) != sha256Length {
		s.AddError("key_sha256", "is not a hex SHA-256 sum")
	}
	return a
}

// readTimes reads the control process's intervals and timeouts.
func readTimes(s *inifile.Section) control.Times {
	d := control.DefaultTimes()
	return control.Times{
		Exchange:         s.Duration("exchange", d.Exchange),
		Heartbeat:        s.Duration("beat", d.Heartbeat),
		HeartbeatPerItem: s.Duration("beat_per_peer", d.HeartbeatPerItem),
		List:             s.Duration("list", d.List),
		Load:             s.Duration("load", d.Load),
		Poll:             s.Duration("poll", d.Poll),
		Flush:            s.Duration("flush", d.Flush),
		OrphanDelay:      s.Duration("orphan", d.OrphanDelay),
		TakeoverDelay:    s.Duration("takeover", d.TakeoverDelay),
		CallTimeout:      s.Duration("call", d.CallTimeout),
	}
}

// readRates reads the error rates by which a roll-out is judged.
func readRates(s *inifile.Section) rollout.Rates {
	d := rollout.DefaultRates()
	r := rollout.Rates{
		Good:       s.Float64("good_rate", d.Good),
		Bad:        s.Float64("bad_rate", d.Bad),
		FalseAlarm: s.Float64("false_alarm", d.FalseAlarm),
	}
	if r.Good <= 0 || r.Bad <= r.Good || r.Bad >= 1 {
		s.AddError("bad_rate", "rates must be 0 < good_rate < bad_rate < 1")
	}
	if r.FalseAlarm <= 0 || r.FalseAlarm >= 1 {
		s.AddError("false_alarm", "must be between 0 and 1")
	}
	return r
}
