package readlimit_test

import (
	"fmt"
	"io"
	"strings"

	"fieldvale/adapter/readlimit"
)

func ExampleReader() {
	r := readlimit.New(strings.NewReader("head body"))
	r.Limit(4)
	b, err := io.ReadAll(r)
	fmt.Printf("%s, %v\n", b, err)
	r.Unlimit()
	b, err = io.ReadAll(r)
	fmt.Printf("%s, %v\n", b, err)
	// Output:
	// head, the answer is longer than allowed
	//  body, <nil>
}
