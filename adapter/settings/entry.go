package settings

import (
	"time"

	"fieldvale/adapter/inifile"
)

// Entry is the settings of a fieldvale-entry.
type Entry struct {
	ID         string
	DataCentre string
	// Listen is for callers, Metrics for the operators' monitoring, Control
	// where the control process beside it listens.
	Listen   string
	Metrics  string
	Control  string
	FleetKey string
	Rating   string
	TLS      TLS
	Level    string
	// Sync is between exchanges with the control process.
	Sync time.Duration
	// Drain is how long a stopping entry goes on taking requests after it
	// stopped being ready, so that the balancer can notice.
	Drain time.Duration
	// StopWithin is the longest that a planned stop waits for answers.
	StopWithin time.Duration
}

// Spans of time that are used where the file has none.
const (
	defaultSync       = 200 * time.Millisecond
	defaultDrain      = 5 * time.Second
	defaultStopWithin = 10 * time.Minute
)

// LoadEntry reads and checks an entry's file.
func LoadEntry(path string) (Entry, []error) {
	e := Entry{Level: defaultLevel}
	f, err := load(path)
	if err != nil {
		return e, []error{err}
	}
	found := false
	f.Each([]string{"entry", "tls", "platform", "log"}, func(s *inifile.Section) {
		switch s.Kind {
		case "entry":
			found = true
			e.read(s)
		case "tls":
			e.TLS = readTLS(s)
		case "platform":
			e.Rating = address(s, "rating")
		case "log":
			e.Level = readLevel(s)
		}
	})
	if !found {
		f.Missing("entry")
	}
	if e.Rating == "" {
		f.Missing("platform")
	}
	return e, f.Errors()
}

func (e *Entry) read(s *inifile.Section) {
	e.ID = s.Need("id")
	e.DataCentre = s.Need("data_centre")
	e.Listen = address(s, "listen")
	e.Metrics = address(s, "metrics_listen")
	e.Control = address(s, "control")
	e.FleetKey = readFleetKey(s)
	e.Sync = s.Span("sync", defaultSync)
	e.Drain = s.Span("drain", defaultDrain)
	e.StopWithin = s.Span("stop_within", defaultStopWithin)
}
