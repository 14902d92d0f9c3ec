//go:build red

package replayer

import "testing"

// maxFramesPerTask is the bound that also holds for durable jobs.
const maxFramesPerTask = 2

// TestFramesPerTask checks the number of frames per task under the calm pattern.
func TestFramesPerTask(t *testing.T) {
	p := loadPattern(t, "testdata/calm.yaml")
	r := Play(p, 1)
	reportBench(t, "ephemeral-messages-per-task", float64(r.Frames)/float64(r.Starts), "1", maxFramesPerTask)
}
