//go:build red

package assigner

import "testing"

// TestRedScripts runs the scripts of faults that KNOWN-RED.txt lists.
func TestRedScripts(t *testing.T) { runScripts(t, "testdata/red/*.txtar") }
