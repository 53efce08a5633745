// Package httphead finds heads of HTTP/1 answers that are none. Parsers are lenient: they skip a status that HTTP doesn't
// have, drop or pass on a line whose name is no name, and join a line that begins with a blank to the one before it. What
// they return then is not what the server sent. And a head that broke off and the whole head that a server sends behind
// it parse as one: it has the status of the first and the headers of both.
package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrContradictory reports a head that is that of two answers, ErrMalformed one that HTTP does not allow.
var (
	ErrContradictory = errors.New("the head of the answer contradicts itself")
	ErrMalformed     = errors.New("the head of the answer is not one of HTTP")
)

// minStatus and maxStatus bound the statuses of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// statusLine matches the begin of a status line.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}( |$)`)

// Peek waits until all of a head, or of the trailers behind a body, was received, and returns it with the empty line
// that ends it, unread. It returns bufio.ErrBufferFull if it is longer than the reader's buffer.
func Peek(r *bufio.Reader) ([]byte, error) {
	searched := 0
	for {
		if _, err := r.Peek(searched + 1); err != nil {
			if err == io.EOF && searched > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if n := length(b, searched); n > 0 {
			return b[:n], nil
		}
		searched = len(b)
	}
}

// length returns the length of the lines up to the first empty one; 0 if there is none. The first bytes were searched
// before.
func length(b []byte, searched int) int {
	for i := max(0, searched-len("\n\r")); i < len(b); {
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return 0
		}
		end := i + n + 1
		l := bytes.TrimSuffix(b[:end-1], []byte("\r"))
		if len(l) == 0 || l[len(l)-1] == '\n' {
			return end
		}
		i = end
	}
	return 0
}

// Check returns the status of a head, or an error if it is none of an answer to a request that asked for no upgrade.
func Check(head []byte) (status int, err error) {
	first, rest, _ := strings.Cut(string(head), "\n")
	if status, err = checkStatusLine(strings.TrimSuffix(first, "\r")); err != nil {
		return 0, err
	}
	return status, checkFields(rest)
}

// CheckTrailers returns an error if the lines behind a body are no headers.
func CheckTrailers(lines []byte) error { return checkFields(string(lines)) }

// CheckHeader returns an error if one of the parsed headers is none.
func CheckHeader(h http.Header) error {
	for n, l := range h {
		for _, v := range l {
			if err := checkField(n, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckStatus returns an error if the status is none of HTTP, or switches the protocol.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("status %03d, want one from %d to %d but %d", status, minStatus, maxStatus, http.StatusSwitchingProtocols)
	}
	return nil
}

// checkStatusLine returns the status.
func checkStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	text, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(text)
	if err != nil || len(text) != len("200") {
		return 0, malformed("status %.40q, want three digits", text)
	}
	if err := CheckStatus(status); err != nil {
		return 0, err
	}
	switch {
	case !strings.HasPrefix(version, "HTTP/1.") || len(version) != len("HTTP/1.1"):
		return 0, malformed("protocol %.40q, want HTTP/1.0 or HTTP/1.1", version)
	case containsStatusLine(reason):
		return 0, errors.Mark(errors.Newf("status %.80q, want one line with one status", rest), ErrContradictory)
	case !httpguts.ValidHeaderFieldValue(reason):
		return 0, malformed("reason %.80q, want one without control bytes", reason)
	}
	return status, nil
}

// checkFields returns an error if one of the lines up to the empty one is no header.
func checkFields(lines string) error {
	for line := range strings.Lines(lines) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			return nil
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return malformed("line %.80q, want a name and a value", line)
		}
		if err := checkField(name, value); err != nil {
			return err
		}
	}
	return nil
}

// checkField returns an error if a header is none, or has the begin of another head.
func checkField(name, value string) error {
	switch {
	case containsStatusLine(value):
		return errors.Mark(errors.Newf("header %.40q: %.80q, want a name and a value without a status line", name, value), ErrContradictory)
	case !httpguts.ValidHeaderFieldName(name):
		return malformed("header name %.40q, want one without blanks and control bytes", name)
	case !httpguts.ValidHeaderFieldValue(strings.Trim(value, " \t")):
		return malformed("header %s: %.80q, want a value without control bytes", name, value)
	}
	return nil
}

// malformed returns an error that is marked with ErrMalformed.
func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMalformed)
}

// containsStatusLine looks for the fixed part first, as nearly no header has it.
func containsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/") && statusLine.MatchString(s)
}
