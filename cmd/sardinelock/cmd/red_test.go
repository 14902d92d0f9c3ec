//go:build red

package cmd

import (
	"testing"
	"time"
)

// TestMessagesOfLongLargeJobs checks the bound on messages per task for jobs of 580
// tasks with the run times of the users' jobs.
func TestMessagesOfLongLargeJobs(t *testing.T) {
	report(t, "messages-per-task-580-long", messagesPerTask(t, 16, 8, 580, uniform(50*time.Millisecond, time.Second)), "1", 0.2)
}
