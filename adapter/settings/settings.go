// Package settings reads and checks the INI files of fieldvale's processes. All errors in a
// file are reported together, before the process starts.
package settings

import (
	"crypto/tls"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/inifile"
)

// TLS holds the paths of a listener's certificate and private key; both are empty without
// TLS.
type TLS struct {
	Cert string
	Key  string
}

// Config loads the certificate and returns a configuration with it; nil without TLS.
func (t TLS) Config() (*tls.Config, error) {
	if t.Cert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "settings: load the TLS certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{c}, MinVersion: tls.VersionTLS12}, nil
}

func readTLS(s *inifile.Section) TLS {
	t := TLS{Cert: s.Value("cert"), Key: s.Value("key")}
	if (t.Cert == "") != (t.Key == "") {
		s.AddError("cert", "cert and key must be set together")
	}
	if _, err := t.Config(); t.Cert != "" && err != nil {
		s.AddError("cert", "%v", err)
	}
	return t
}

// minFleetKey is the minimum length of the fleet's key, in bytes.
const minFleetKey = 16

// readFleetKey reads the key by which the fleet's processes authenticate to each other.
func readFleetKey(s *inifile.Section) string {
	k := s.Required("fleet_key")
	if k != "" && len(k) < minFleetKey {
		s.AddError("fleet_key", "is shorter than %d bytes", minFleetKey)
	}
	return k
}

// readAddress reads a required address in the form IP:PORT. An empty IP is valid.
func readAddress(s *inifile.Section, key string) string {
	t := s.Required(key)
	if t == "" {
		return t
	}
	h, _, err := net.SplitHostPort(t)
	if err != nil || h != "" && net.ParseIP(h) == nil {
		s.AddError(key, "%q is not IP:PORT", t)
	}
	return t
}

// levels are the valid log levels.
var levels = []string{"debug", "info", "warn", "error"}

const defaultLevel = "info"

// readLevel reads the log level.
func readLevel(s *inifile.Section) string {
	t := s.Value("level")
	if t == "" {
		return defaultLevel
	}
	for _, l := range levels {
		if t == l {
			return t
		}
	}
	s.AddError("level", "%q is not one of debug, info, warn, error", t)
	return t
}

// loadFile reads and parses an INI file.
func loadFile(path string) (*inifile.File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings: read the file")
	}
	return inifile.Parse(path, string(b)), nil
}
