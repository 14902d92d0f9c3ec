package scripter

import (
	"strconv"
	"testing"
	"time"
)

// Duration reads an argument of a script. The test ends if it is none.
func Duration(t testing.TB, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Number reads an argument of a script. The test ends if it is none.
func Number(t testing.TB, text string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
