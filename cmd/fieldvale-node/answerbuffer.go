package main

import (
	"fieldvale/answerbuffer"
	"fieldvale/entry"
)

// maxSlowClientLines bounds the log lines of slow clients in a second. Many clients are slow at
// once if they share a slow link; the metrics count all of them.
const maxSlowClientLines = 5

// newAnswerBuffers returns the memory for answers that clients have not read yet; nil where the
// settings have none.
func (n *node) newAnswerBuffers() *answerbuffer.Budget {
	if n.settings.AnswerBufferKB == 0 {
		return nil
	}
	b := answerbuffer.NewBudget(n.settings.AnswerBuffersBytes(), n.settings.AnswerBufferKB<<10)
	n.metrics.GaugeFunc("answer_buffer_bytes", "Memory of answers that clients have not read yet.", func() float64 { return float64(b.Held()) })
	return b
}

// bodyMemoryPart is the part of the memory that long answers may take while they are read, and minBodyBytes the
// least that they may.
const (
	bodyMemoryPart = 1.0 / 32
	minBodyBytes   = 4 << 20
)

// newBodies returns the bound of the memory for long answers that are being read.
func (n *node) newBodies() *answerbuffer.Bodies {
	b := answerbuffer.NewBodies(max(minBodyBytes, int64(float64(n.settings.MemoryMB<<20)*bodyMemoryPart)))
	n.metrics.GaugeFunc("answers_read_bytes", "Memory of long answers that are being read from replicas.", func() float64 { return float64(b.Held()) })
	return b
}

// clientSlowHook returns the hook that counts and logs the clients that were slower than their
// replicas.
func (n *node) clientSlowHook() func(entry.SlowClient) {
	if n.settings.AnswerBufferKB == 0 {
		return nil
	}
	full := n.metrics.Counter("answers_without_room_total", "Answers that found no room in the buffer for slow clients, by the limit that was reached first: of the answer or of the instance.", "limit")
	cut := n.metrics.Counter("clients_cut_total", "Answers broken off because the client read nothing until its deadline, by service.", "service")
	l := &lineLimit{most: maxSlowClientLines}
	return func(s entry.SlowClient) {
		if s.Shortage != answerbuffer.None {
			full.WithLabelValues(s.Shortage.String()).Inc()
		}
		if s.IsCut {
			cut.WithLabelValues(s.Service).Inc()
		}
		if ok, omitted := l.allow(n.clock()); ok {
			n.logEvent("client_slow", "request", s.Request, "service", s.Service, "cut", s.IsCut, "no_room", s.Shortage, "unwritten_bytes", s.UnwrittenBytes, "lines_omitted", omitted)
		}
	}
}
