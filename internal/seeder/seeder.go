// Package seeder fixes the seed of a package's property tests, so that every run gives
// the same result.
//
// A package whose tests use pgregory.net/rapid must declare
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// The test of this package fails if one does not.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// seed is the default seed of all packages. The flag -rapid.seed overrides it.
const seed = "1"

// Main runs the tests of a package with the fixed seed and exits.
func Main(m *testing.M) {
	flag.Parse()
	// If the seed is 0, rapid derives one from the current time.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
