package settings

import (
	"slices"
	"time"

	"fieldvale/adapter/inifile"
)

// Node holds the settings of a fieldvale-node process.
type Node struct {
	ID         string
	DataCentre string
	// Listen is the listen address for clients.
	Listen string
	// ReadyListen is the listen address for the platform's readiness checks.
	ReadyListen string
	// MetricsListen is the listen address for metrics.
	MetricsListen string
	// PeersListen is the listen address for datagrams from other instances.
	PeersListen string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// FirstStart states that the whole fleet is being started for the first time.
	FirstStart bool
	// MaxApplyDelay bounds the time from a change in the store until the change must be in
	// force at this instance.
	MaxApplyDelay time.Duration
	// Level is the least severe level that is logged.
	Level string
	// StopTimeout bounds how long a planned stop takes.
	StopTimeout time.Duration
	// MemoryMB is the instance's memory in MB; 0 if unknown.
	MemoryMB int64
	// LinkMbps is the capacity of the instance's network link in Mbit/s; 0 if unknown.
	LinkMbps float64
	// AnswerBufferKB is the memory in KB that the part of one answer may use that its client has
	// not read yet; 0 for none.
	AnswerBufferKB int64
	// RevokedKeyTTL bounds how long an API key is accepted after it was revoked.
	RevokedKeyTTL time.Duration
	// LenientKeys lifts the bound on accepting revoked keys while the instance can't confirm
	// its configuration.
	LenientKeys bool
	// RetryFraction bounds the retries that the whole fleet sends to a service, as a fraction
	// of the incoming requests.
	RetryFraction float64
	// RetryBurst is a number of retries that is allowed in addition.
	RetryBurst float64
	// ExposedFraction bounds the requests that a bad release may get, as a fraction of all
	// requests during the planned duration of the release.
	ExposedFraction float64
	// ExposedSlack is a number of requests that a bad release may get in addition.
	ExposedSlack float64
	// CloudAddr is the address of the platform's API that one instance at a time calls; empty
	// if there is none.
	CloudAddr string
	// The duties that the fleet performs by this API: usage reports and autoscaling.
	ReportsUsage, Autoscales bool
	// The length of the time windows for which usage is reported, and how long after the end
	// of its window a report is accepted.
	UsageWindow, MaxUsageDelay time.Duration
	// Regions are the regions of the data centres, by the data centre's name.
	Regions map[string]string
	// ColdLimitFactor bounds the requests per second that a cold replica gets from all
	// instances, as a multiple of the rate that the replica advertises.
	ColdLimitFactor float64
	// ColdLimitSlack is a number of requests per second that a cold replica may get in addition.
	ColdLimitSlack float64
	// DrainPeriod is how long a draining replica still serves requests after it has reported
	// that it is draining.
	DrainPeriod time.Duration
	// CompletionPause is the pause between events from which a route's requests are placed by
	// the time until the whole answer is complete; 0 for none.
	CompletionPause time.Duration
	// AcceptConfidence is the confidence, from 0 to 100, that the smallest model must report
	// in its answer for the answer to be returned to the caller.
	AcceptConfidence float64
}

// Values that are used if the file has none.
const (
	defaultMemoryMB        = 256
	defaultRevokedKeyTTL   = 5 * time.Second
	defaultMaxApplyDelay   = 2 * time.Second
	defaultNodeStopTimeout = 8 * time.Second
	defaultRetryFraction   = 0.1
	defaultRetryBurst      = 10
	// A bad release gets at most about one in seven requests, unless a service requires
	// less.
	defaultExposedFraction = 0.15
	defaultExposedSlack    = 0
	// A cold replica gets no more requests per second than it advertises.
	defaultColdLimitFactor = 1
	defaultColdLimitSlack  = 0
	defaultDrainPeriod     = 2 * time.Second
	defaultUsageWindow     = time.Minute
	defaultMaxUsageDelay   = 2 * time.Minute
	// docs/MEASURES.md has the figures for other values of defaultAcceptConfidence.
	defaultAcceptConfidence = 60
)

// LoadNode reads and checks the settings file of a fieldvale-node process. It returns all
// errors in the file.
func LoadNode(path string) (Node, []error) {
	n := defaultNode()
	f, err := loadFile(path)
	if err != nil {
		return n, []error{err}
	}
	found := false
	f.Each([]string{"node", "limits", "keys", "repeats", "releases", "replicas", "models", "regions", "cloud", "placement"}, func(s *inifile.Section) {
		found = found || s.Kind == "node"
		n.readSection(s)
	})
	if !found {
		f.AddMissingSection("node")
	}
	return n, f.Errors()
}

// defaultNode returns the settings for sections that are missing in the file.
func defaultNode() Node {
	return Node{
		Level: defaultLevel, MemoryMB: defaultMemoryMB, RevokedKeyTTL: defaultRevokedKeyTTL,
		RetryFraction: defaultRetryFraction, RetryBurst: defaultRetryBurst,
		ExposedFraction: defaultExposedFraction, ExposedSlack: defaultExposedSlack, ColdLimitFactor: defaultColdLimitFactor, ColdLimitSlack: defaultColdLimitSlack, DrainPeriod: defaultDrainPeriod, AcceptConfidence: defaultAcceptConfidence,
	}
}

// readSection reads one section of the file.
func (n *Node) readSection(s *inifile.Section) {
	switch s.Kind {
	case "node":
		n.readNode(s)
	case "limits":
		n.readLimits(s)
	case "keys":
		n.RevokedKeyTTL = s.Duration("honour_for", defaultRevokedKeyTTL)
		n.LenientKeys = !s.Bool("strict", true)
	case "releases":
		n.ExposedFraction = s.Float64("exposed_part", defaultExposedFraction)
		n.ExposedSlack = s.Float64("exposed_slack", defaultExposedSlack)
	case "replicas":
		n.ColdLimitFactor = s.Float64("cold_overage", defaultColdLimitFactor)
		n.ColdLimitSlack = s.Float64("cold_slack", defaultColdLimitSlack)
		n.DrainPeriod = s.Duration("drain_for", defaultDrainPeriod)
	case "models":
		n.readModels(s)
	case "placement":
		n.CompletionPause = s.Duration("completion_pause", 0)
	case "cloud":
		n.readCloud(s)
	case "regions":
		n.Regions = s.ValueMap()
	case "repeats":
		n.RetryFraction = s.Float64("part", defaultRetryFraction)
		n.RetryBurst = s.Float64("burst", defaultRetryBurst)
	}
}

// AnswerBuffersDivisor is the part of the instance's memory that all answer buffers together may
// use: one divided by it. The process keeps well below its memory, and buffers are not needed
// while clients read.
const AnswerBuffersDivisor = 16

// AnswerBuffersBytes is the most memory that all answer buffers together may use.
func (n Node) AnswerBuffersBytes() int64 { return n.MemoryMB << 20 / AnswerBuffersDivisor }

// readLimits reads the section with the instance's resources.
func (n *Node) readLimits(s *inifile.Section) {
	if m := s.Int64("memory_mb"); m > 0 {
		n.MemoryMB = m
	}
	n.LinkMbps = s.Float64("link_mbps", 0)
	n.AnswerBufferKB = s.Int64("answer_buffer_kb")
	if most := n.AnswerBuffersBytes() >> 10; n.AnswerBufferKB < 0 || n.AnswerBufferKB > most {
		s.AddError("answer_buffer_kb", "must be from 0 to %d, which is 1/%d of memory_mb", most, AnswerBuffersDivisor)
	}
}

// readModels reads the section that controls when an answer of a smaller model is accepted.
func (n *Node) readModels(s *inifile.Section) {
	n.AcceptConfidence = s.Float64("accept_confidence", defaultAcceptConfidence)
	if n.AcceptConfidence < 0 || n.AcceptConfidence > 100 {
		s.AddError("accept_confidence", "must be from 0 to 100")
	}
}

// Values of the duties key in the cloud section.
const (
	dutyUsage   = "usage_report"
	dutyScaling = "autoscale"
)

// readCloud reads the address of the platform's API and the duties that call it. The API is
// not called if the address is empty.
func (n *Node) readCloud(s *inifile.Section) {
	if s.Value("address") != "" {
		n.CloudAddr = readAddress(s, "address")
	}
	l := s.Values("duties")
	n.ReportsUsage, n.Autoscales = slices.Contains(l, dutyUsage), slices.Contains(l, dutyScaling)
	n.UsageWindow = time.Duration(s.Float64("usage_window_s", defaultUsageWindow.Seconds()) * float64(time.Second))
	n.MaxUsageDelay = time.Duration(s.Float64("usage_late_s", defaultMaxUsageDelay.Seconds()) * float64(time.Second))
	if n.UsageWindow < time.Second || n.MaxUsageDelay < time.Second {
		s.AddError("usage_window_s", "usage_window_s and usage_late_s must be at least one second")
	}
}

// readNode reads the node section.
func (n *Node) readNode(s *inifile.Section) {
	n.ID = s.Required("id")
	n.DataCentre = s.Required("data_centre")
	n.Listen = readAddress(s, "listen")
	n.ReadyListen = readAddress(s, "ready_listen")
	n.MetricsListen = readAddress(s, "metrics_listen")
	n.PeersListen = readAddress(s, "peers_listen")
	n.StoreAddr = readAddress(s, "store")
	n.FirstStart = s.Bool("first_start", false)
	n.MaxApplyDelay = s.Duration("apply_within", defaultMaxApplyDelay)
	n.StopTimeout = s.Duration("stop_within", defaultNodeStopTimeout)
	n.Level = readLevel(s)
}
