package version_test

import (
	"fmt"

	"fieldvale/version"
)

func ExampleParse() {
	v, err := version.Parse("lingua-small@3")
	fmt.Println(v.Model, v.Name, err)
	_, err = version.Parse("lingua-small")
	fmt.Println(err)
	// Output:
	// lingua-small 3 <nil>
	// version.Parse: "lingua-small" is not MODEL@VERSION
}
