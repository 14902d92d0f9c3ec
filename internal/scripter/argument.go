package scripter

import (
	"strconv"
	"testing"
	"time"
)

// Duration parses a duration in an argument of a script. If it is invalid, the test
// fails and stops.
func Duration(t testing.TB, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Number parses an integer in an argument of a script. If it is invalid, the test fails
// and stops.
func Number(t testing.TB, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
