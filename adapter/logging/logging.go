// Package logging provides a logger that writes each event as one line of key=value pairs.
package logging

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// New returns a logger to w that adds the given fields to each line. It drops events below the
// level, which is "debug", "info", "warn" or "error".
func New(w io.Writer, level string, fields log.Fields) (log.Interface, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	g := &log.Logger{Handler: &handler{w: w}, Level: l}
	return g.WithFields(fields), nil
}

// handler implements log.Handler. The text handlers of apex/log align their output for people,
// which makes it hard to parse.
type handler struct {
	mu sync.Mutex
	w  io.Writer
}

// HandleLog implements log.Handler.
func (h *handler) HandleLog(e *log.Entry) error {
	var b strings.Builder
	b.WriteString("time=" + e.Timestamp.UTC().Format(time.RFC3339Nano))
	b.WriteString(" level=" + e.Level.String())
	b.WriteString(" event=" + quote(e.Message))
	k := make([]string, 0, len(e.Fields))
	for n := range e.Fields {
		k = append(k, n)
	}
	sort.Strings(k)
	for _, n := range k {
		b.WriteString(" " + n + "=" + quote(fmt.Sprint(e.Fields[n])))
	}
	b.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, b.String())
	return err
}

// quote returns s, in quotes if a parser could not find its end otherwise.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " \t\n\r\"=") {
		return strconv.Quote(s)
	}
	return s
}

// Fields returns the fields given as alternating names and values.
func Fields(a ...any) log.Fields {
	f := log.Fields{}
	for i := 0; i+1 < len(a); i += 2 {
		f[fmt.Sprint(a[i])] = a[i+1]
	}
	return f
}
