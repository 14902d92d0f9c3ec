// Package seeder fixes the seed of a package's random tests, so that their verdict
// is the same at every run.
//
// A package with tests of pgregory.net/rapid has
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// The test of this package looks for packages that have not.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// seed is the seed of all packages; chosen. The flag -rapid.seed sets another.
const seed = "1"

// Main runs the tests of a package from the fixed seed.
func Main(m *testing.M) {
	flag.Parse()
	// Without a seed rapid takes one from the time.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
