// Package settings reads the INI files of fieldvale's processes. A file is
// checked as a whole: every fault is reported before a process starts.
package settings

import (
	"crypto/tls"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/inifile"
)

// TLS names the files of a listener's certificate; both empty for none.
type TLS struct {
	Cert string
	Key  string
}

// Config loads the certificate; nil if there is none.
func (t TLS) Config() (*tls.Config, error) {
	if t.Cert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "settings.TLS")
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

func readTLS(s *inifile.Section) TLS {
	t := TLS{Cert: s.Text("cert"), Key: s.Text("key")}
	if (t.Cert == "") != (t.Key == "") {
		s.Fail("cert", "cert and key go together")
	}
	if _, err := t.Config(); t.Cert != "" && err != nil {
		s.Fail("cert", "%v", err)
	}
	return t
}

// minFleetKey is the least length of the fleet's key, in bytes.
const minFleetKey = 16

func readFleetKey(s *inifile.Section) string {
	k := s.Need("fleet_key")
	if k != "" && len(k) < minFleetKey {
		s.Fail("fleet_key", "is shorter than %d bytes", minFleetKey)
	}
	return k
}

// address reads an IP number and port.
func address(s *inifile.Section, key string) string {
	t := s.Need(key)
	if t == "" {
		return t
	}
	h, _, err := net.SplitHostPort(t)
	if err != nil || h != "" && net.ParseIP(h) == nil {
		s.Fail(key, "%q is not IP:PORT", t)
	}
	return t
}

// levels are the words for how much is logged.
var levels = []string{"debug", "info", "warn", "error"}

const defaultLevel = "info"

func readLevel(s *inifile.Section) string {
	t := s.Text("level")
	if t == "" {
		return defaultLevel
	}
	for _, l := range levels {
		if t == l {
			return t
		}
	}
	s.Fail("level", "%q is not one of debug, info, warn, error", t)
	return t
}

func load(path string) (*inifile.File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return inifile.Parse(path, string(b)), nil
}
