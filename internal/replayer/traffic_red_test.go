//go:build red

package replayer

import "testing"

// maxFramesPerTask is the bound on messages a task that holds for jobs that are kept.
const maxFramesPerTask = 2

// TestFramesPerTask checks the messages of a calm day.
func TestFramesPerTask(t *testing.T) {
	p := loadPattern(t, "testdata/calm.yaml")
	r := Play(p, 1)
	benchLine(t, "ephemeral-messages-per-task", float64(r.Frames)/float64(r.Starts), "1", maxFramesPerTask)
}
