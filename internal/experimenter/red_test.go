//go:build red

package experimenter

import (
	"testing"

	"sardinelock.dev/sardinelock/internal/scripter"
)

// TestRedScenarios runs the scenarios that miss a bound; KNOWN-RED.txt lists them.
func TestRedScenarios(t *testing.T) {
	scripter.Run(t, "testdata/red/*.txtar", runScenario)
}
