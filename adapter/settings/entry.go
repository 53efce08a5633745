package settings

import (
	"time"

	"fieldvale/adapter/inifile"
)

// Entry holds the settings of a fieldvale-entry process.
type Entry struct {
	ID         string
	DataCentre string
	// Listen is the listen address for callers.
	Listen string
	// MetricsListen is the listen address for metrics.
	MetricsListen string
	// ControlAddr is the address of the control process on the same host.
	ControlAddr string
	FleetKey    string
	// RatingAddr is the address of the platform's service that rates answers.
	RatingAddr string
	TLS        TLS
	// Level is the least severe level that is logged.
	Level string
	// Sync is the interval between syncs with the control process.
	Sync time.Duration
	// DrainDelay is how long a stopping entry still accepts requests after it reports that it
	// is not ready, so that the load balancer can stop sending requests.
	DrainDelay time.Duration
	// StopTimeout bounds how long a planned stop waits until running requests are done.
	StopTimeout time.Duration
	// MemoryMB is the memory of the process in MB.
	MemoryMB int64
}

// Durations that are used if the file has none.
const (
	defaultSyncInterval = 200 * time.Millisecond
	defaultDrainDelay   = 5 * time.Second
	defaultStopTimeout  = 10 * time.Minute
)

// LoadEntry reads and checks the settings file of a fieldvale-entry process. It returns all
// errors in the file.
func LoadEntry(path string) (Entry, []error) {
	e := Entry{Level: defaultLevel, MemoryMB: defaultMemoryMB}
	f, err := loadFile(path)
	if err != nil {
		return e, []error{err}
	}
	found := false
	f.Each([]string{"entry", "limits", "tls", "platform", "log"}, func(s *inifile.Section) {
		switch s.Kind {
		case "entry":
			found = true
			e.readEntry(s)
		case "limits":
			e.MemoryMB = s.Int64("memory_mb")
			if e.MemoryMB <= 0 {
				s.AddError("memory_mb", "must be above 0")
			}
		case "tls":
			e.TLS = readTLS(s)
		case "platform":
			e.RatingAddr = readAddress(s, "rating")
		case "log":
			e.Level = readLevel(s)
		}
	})
	if !found {
		f.AddMissingSection("entry")
	}
	if e.RatingAddr == "" {
		f.AddMissingSection("platform")
	}
	return e, f.Errors()
}

// readEntry reads the entry section.
func (e *Entry) readEntry(s *inifile.Section) {
	e.ID = s.Required("id")
	e.DataCentre = s.Required("data_centre")
	e.Listen = readAddress(s, "listen")
	e.MetricsListen = readAddress(s, "metrics_listen")
	e.ControlAddr = readAddress(s, "control")
	e.FleetKey = readFleetKey(s)
	e.Sync = s.Duration("sync", defaultSyncInterval)
	e.DrainDelay = s.Duration("drain", defaultDrainDelay)
	e.StopTimeout = s.Duration("stop_within", defaultStopTimeout)
}
