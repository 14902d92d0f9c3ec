//go:build red

package cmd

import (
	"testing"
	"time"
)

// TestMessagesOfLargeJobs holds the bound for jobs of 580 short tasks.
func TestMessagesOfLargeJobs(t *testing.T) {
	report(t, "messages-per-task-580", messagesPerTask(t, 64, 8, 580, between(time.Millisecond, 5*time.Millisecond)), "1", 0.2)
}
