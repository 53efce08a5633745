package httphead_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/httphead"
)

func ExampleCheck() {
	for _, h := range []string{
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n\r\n",
		"HTTP/1.1 000 Odd\r\n\r\n",
		"HTTP/1.1 503 BusyHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Note: abHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Note: HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Note: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Note: a\x00\r\n\r\n",
	} {
		fmt.Println(httphead.Check([]byte(h)))
	}
	// Output:
	// 200 <nil>
	// 0 status 000, want one from 100 to 599 but 101
	// 0 status "503 BusyHTTP/1.1 200 OK", want one line with one status
	// 200 header "X-Note": " abHTTP/1.1 200 OK", want a name and a value without a status line
	// 200 header "X-Note": " HTTP/1.1 200", want a name and a value without a status line
	// 200 header name "X Note", want one without blanks and control bytes
	// 200 line " b", want a name and a value
	// 200 header X-Note: " a\x00", want a value without control bytes
}

// Guards against a head whose end is found too early, too late or not at all as it arrives in pieces.
func TestPeekReturnsTheHeadAlone(t *testing.T) {
	for _, c := range []struct {
		sent, want string
		wantErr    error
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", nil},
		{"HTTP/1.1 200 OK\nA: b\n\nbody", "HTTP/1.1 200 OK\nA: b\n\n", nil},
		{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", nil},
		{"\r\nrest", "\r\n", nil},
		{"", "", io.EOF},
		{"HTTP/1.1 200 OK\r\nA: b\r\n", "", io.ErrUnexpectedEOF},
		{strings.Repeat("x", 99), "", bufio.ErrBufferFull},
	} {
		for name, r := range map[string]io.Reader{"at once": strings.NewReader(c.sent), "by bytes": iotest.OneByteReader(strings.NewReader(c.sent))} {
			got, err := httphead.Peek(bufio.NewReaderSize(r, 64))
			if string(got) != c.want || !errors.Is(err, c.wantErr) {
				t.Errorf("%q %s: got %q and error %v, want %q and %v", c.sent, name, got, err, c.want, c.wantErr)
			}
		}
	}
}
