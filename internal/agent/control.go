package agent

import "time"

// Kill ends the agent at once, as the death of its process would: calls of the
// upstream are cut off and nothing is reported. Experiments use it; Run returns
// afterwards.
func (a *Agent) Kill() {
	a.killOnce.Do(func() { close(a.killed) })
	a.stop()
}

// Pause stops the control thread for a while, as a paused process would.
// Experiments use it.
func (a *Agent) Pause(d time.Duration) {
	a.loop.Post(func(time.Time) { time.Sleep(d) })
}
