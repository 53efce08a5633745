// Package httphead finds heads of HTTP answers that contradict themselves. A head that broke off and the
// whole head that a server sends behind it parse as one: it has the status of the first and the
// headers of both.
package httphead

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrContradictory marks the errors of this package.
var ErrContradictory = errors.New("the head of the answer contradicts itself")

// statusLine matches the begin of a status line.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}( |$)`)

// Check returns an error if the status, such as "200 OK", or a header contradicts the rest of the head.
func Check(status string, h http.Header) error {
	if err := CheckStatus(status); err != nil {
		return err
	}
	for n, l := range h {
		for _, v := range l {
			if err := CheckField(n, v); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckStatus returns an error if the status with its reason has the begin of another head.
func CheckStatus(status string) error {
	if containsStatusLine(status) || !httpguts.ValidHeaderFieldValue(status) {
		return errors.Mark(errors.Newf("status %.80q, want one line with one status", status), ErrContradictory)
	}
	return nil
}

// CheckField returns an error if a header is none, or has the begin of another head.
func CheckField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) || containsStatusLine(value) {
		return errors.Mark(errors.Newf("header %.40q: %.80q, want a name and a value without a status line", name, value), ErrContradictory)
	}
	return nil
}

// containsStatusLine looks for the fixed part first, as nearly no header has it.
func containsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/") && statusLine.MatchString(s)
}
