package settings

import (
	"slices"
	"time"

	"fieldvale/adapter/inifile"
)

// Node is the settings of a fieldvale-node.
type Node struct {
	ID         string
	DataCentre string
	// Listen is for clients, Ready for the platform's question whether the
	// instance is ready, Metrics for monitoring.
	Listen  string
	Ready   string
	Metrics string
	// Peers is where datagrams of other instances come in.
	Peers string
	// Store is the address of the platform's store.
	Store string
	// FirstStart says that the whole fleet is being started for the first
	// time.
	FirstStart bool
	// ApplyWithin is how soon a change in the store must be in force.
	ApplyWithin time.Duration
	Level       string
	// StopWithin is the longest that a planned stop takes.
	StopWithin time.Duration
	// MemoryMB is the instance's memory in MB, LinkMbps what its link carries; 0 if
	// that is not known.
	MemoryMB int64
	LinkMbps float64
	// HonourFor is the longest that a key may be honoured after it was taken
	// away.
	HonourFor time.Duration
	// KeysLenient has keys honoured beyond that where the configuration can't
	// be confirmed.
	KeysLenient bool
	// RepeatPart and RepeatBurst bound how many more requests than came in
	// may reach a service, fleet-wide.
	RepeatPart  float64
	RepeatBurst float64
	// ExposedPart and ExposedSlack bound how many of the requests of a release's
	// length a bad one may get: a part of them, and a number on top.
	ExposedPart  float64
	ExposedSlack float64
	// Cloud is the address of the platform's calls that one instance at a time makes;
	// empty where there are none. UsageWindow is the length of the windows of which usage
	// is reported, UsageLate how long after its end a report is still in time.
	Cloud string
	// ReportsUsage and Scales are which of these calls are to be made.
	ReportsUsage, Scales   bool
	UsageWindow, UsageLate time.Duration
	// Regions are the data centres' regions by their names.
	Regions map[string]string
	// ColdOverage times what a replica that has just started says that it bears a
	// second, and ColdSlack on top, is the most that it may get from all instances.
	ColdOverage float64
	ColdSlack   float64
	// DrainFor is how long replicas that leave serve on after they said so.
	DrainFor time.Duration
	// AcceptConfidence is the smallest model's opinion of its own answer, out
	// of 100, from which the answer is passed on.
	AcceptConfidence float64
}

// Values that are used where the file has none.
const (
	defaultMemoryMB    = 256
	defaultHonourFor   = 5 * time.Second
	defaultApplyWithin = 2 * time.Second
	defaultNodeStop    = 8 * time.Second
	defaultRepeatPart  = 0.1
	defaultRepeatBurst = 10
	// A bad release gets some one in seven requests, for services that ask for
	// no less.
	defaultExposedPart  = 0.15
	defaultExposedSlack = 0
	// A cold replica gets no more than it says that it bears.
	defaultColdOverage = 1
	defaultColdSlack   = 0
	defaultDrainFor    = 2 * time.Second
	defaultUsageWindow = time.Minute
	defaultUsageLate   = 2 * time.Minute
	// defaultConfidence: docs/MEASURES.md has the figures of other values.
	defaultConfidence = 60
)

// LoadNode reads and checks a node's file.
func LoadNode(path string) (Node, []error) {
	n := defaultNode()
	f, err := load(path)
	if err != nil {
		return n, []error{err}
	}
	found := false
	f.Each([]string{"node", "limits", "keys", "repeats", "releases", "replicas", "models", "regions", "cloud"}, func(s *inifile.Section) {
		found = found || s.Kind == "node"
		n.section(s)
	})
	if !found {
		f.Missing("node")
	}
	return n, f.Errors()
}

// defaultNode is what sections that are not in the file leave.
func defaultNode() Node {
	return Node{
		Level: defaultLevel, MemoryMB: defaultMemoryMB, HonourFor: defaultHonourFor,
		RepeatPart: defaultRepeatPart, RepeatBurst: defaultRepeatBurst,
		ExposedPart: defaultExposedPart, ExposedSlack: defaultExposedSlack, ColdOverage: defaultColdOverage, ColdSlack: defaultColdSlack, DrainFor: defaultDrainFor, AcceptConfidence: defaultConfidence,
	}
}

// section reads one section.
func (n *Node) section(s *inifile.Section) {
	switch s.Kind {
	case "node":
		n.read(s)
	case "limits":
		if m := s.Number("memory_mb"); m > 0 {
			n.MemoryMB = m
		}
		n.LinkMbps = s.Fraction("link_mbps", 0)
	case "keys":
		n.HonourFor = s.Span("honour_for", defaultHonourFor)
		n.KeysLenient = !s.Truth("strict", true)
	case "releases":
		n.ExposedPart = s.Fraction("exposed_part", defaultExposedPart)
		n.ExposedSlack = s.Fraction("exposed_slack", defaultExposedSlack)
	case "replicas":
		n.ColdOverage = s.Fraction("cold_overage", defaultColdOverage)
		n.ColdSlack = s.Fraction("cold_slack", defaultColdSlack)
		n.DrainFor = s.Span("drain_for", defaultDrainFor)
	case "models":
		n.readModels(s)
	case "cloud":
		n.readCloud(s)
	case "regions":
		n.Regions = s.All()
	case "repeats":
		n.RepeatPart = s.Fraction("part", defaultRepeatPart)
		n.RepeatBurst = s.Fraction("burst", defaultRepeatBurst)
	}
}

func (n *Node) readModels(s *inifile.Section) {
	n.AcceptConfidence = s.Fraction("accept_confidence", defaultConfidence)
	if n.AcceptConfidence < 0 || n.AcceptConfidence > 100 {
		s.Fail("accept_confidence", "is not from 0 to 100")
	}
}

// Words for the duties that the platform's calls are for.
const (
	dutyUsage   = "usage_report"
	dutyScaling = "autoscale"
)

// readCloud reads the platform's calls; an address that is empty says that there are
// none.
func (n *Node) readCloud(s *inifile.Section) {
	if s.Text("address") != "" {
		n.Cloud = address(s, "address")
	}
	l := s.List("duties")
	n.ReportsUsage, n.Scales = slices.Contains(l, dutyUsage), slices.Contains(l, dutyScaling)
	n.UsageWindow = time.Duration(s.Fraction("usage_window_s", defaultUsageWindow.Seconds()) * float64(time.Second))
	n.UsageLate = time.Duration(s.Fraction("usage_late_s", defaultUsageLate.Seconds()) * float64(time.Second))
	if n.UsageWindow < time.Second || n.UsageLate < time.Second {
		s.Fail("usage_window_s", "or usage_late_s is below one second")
	}
}

func (n *Node) read(s *inifile.Section) {
	n.ID = s.Need("id")
	n.DataCentre = s.Need("data_centre")
	n.Listen = address(s, "listen")
	n.Ready = address(s, "ready_listen")
	n.Metrics = address(s, "metrics_listen")
	n.Peers = address(s, "peers_listen")
	n.Store = address(s, "store")
	n.FirstStart = s.Truth("first_start", false)
	n.ApplyWithin = s.Span("apply_within", defaultApplyWithin)
	n.StopWithin = s.Span("stop_within", defaultNodeStop)
	n.Level = readLevel(s)
}
