package dispatcher

import (
	"net/http"
	"time"
)

// Kill ends the entry at once, as the death of its process would: nothing is
// handed over, answered or flushed. Experiments use it; Run returns afterwards.
func (e *Entry) Kill() {
	e.killOnce.Do(func() { close(e.killed) })
	e.stop()
}

// Pause stops the control thread for a while, as a paused process would: leases
// run out meanwhile, and the thread does not know. Experiments use it.
func (e *Entry) Pause(d time.Duration) {
	e.loop.Post(func(time.Time) { time.Sleep(d) })
}

// abortIfKilled cuts off the caller's connection without an answer if the entry
// was killed, as the death of its process would.
func (e *Entry) abortIfKilled() {
	select {
	case <-e.killed:
		panic(http.ErrAbortHandler)
	default:
	}
}
