//go:build red

package cmd

import (
	"testing"
	"time"
)

// TestMessagesOfLongLargeJobs holds the bound for jobs of 580 tasks as the users
// have them.
func TestMessagesOfLongLargeJobs(t *testing.T) {
	report(t, "messages-per-task-580-long", messagesPerTask(t, 16, 8, 580, between(50*time.Millisecond, time.Second)), "1", 0.2)
}
