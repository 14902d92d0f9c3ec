package dispatcher

import (
	"net/http"
	"time"
)

// Kill stops the entry immediately, as a crash of its process would: nothing is handed
// over, answered or flushed. Run returns afterwards. Experiments use it to inject
// faults.
func (e *Entry) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
	e.stop()
}

// Pause blocks the control thread for the given time, as if the process were
// suspended: leases expire meanwhile and the thread does not notice. Experiments use
// it to inject faults.
func (e *Entry) Pause(d time.Duration) {
	e.loop.Post(func(time.Time) { time.Sleep(d) })
}

// abortIfKilled breaks the caller's connection without an answer if the entry was
// killed, as a crash of its process would.
func (e *Entry) abortIfKilled() {
	select {
	case <-e.killed:
		panic(http.ErrAbortHandler)
	default:
	}
}
