// Package seed fixes the random seed of property tests, so that their results
// are reproducible.
package seed

import (
	"flag"
	"fmt"
)

const fixedSeed = "20261202"

// Fix sets rapid's seed and prints it. A -rapid.seed flag on the command line
// is parsed later and overrides it. It returns true so that a package variable
// can be initialised with the call.
func Fix() bool {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	fmt.Println("rapid.seed=" + fixedSeed)
	return true
}
