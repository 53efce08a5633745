package httphead_test

import (
	"fmt"
	"net/http"

	"fieldvale/adapter/httphead"
)

func ExampleCheck() {
	for _, h := range []http.Header{
		{"Via": {"HTTP/1.1 proxy"}, "Upgrade": {"HTTP/2.0"}},
		{"X-Note": {"abHTTP/1.1 200 OK"}},
		{"X-Note": {"HTTP/1.1 200"}},
		{"X Note": {"a"}},
		{"X-Note": {"a\x00"}},
	} {
		fmt.Println(httphead.Check("200 OK", h))
	}
	fmt.Println(httphead.Check("503 BusyHTTP/1.1 200 OK", nil))
	// Output:
	// <nil>
	// header "X-Note": "abHTTP/1.1 200 OK", want a name and a value without a status line
	// header "X-Note": "HTTP/1.1 200", want a name and a value without a status line
	// header "X Note": "a", want a name and a value without a status line
	// header "X-Note": "a\x00", want a name and a value without a status line
	// status "503 BusyHTTP/1.1 200 OK", want one line with one status
}
