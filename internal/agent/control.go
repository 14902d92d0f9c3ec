package agent

import "time"

// Kill ends the agent at once, as a crash of its process would: calls to the upstream
// are aborted and nothing is reported. Experiments use it; Run returns afterwards.
func (a *Agent) Kill() {
	a.killOnce.Do(func() { close(a.killed) })
	a.stop()
}

// Pause blocks the control thread for the given time, as a pause of the process would.
// Experiments use it.
func (a *Agent) Pause(d time.Duration) {
	a.loop.Post(func(time.Time) { time.Sleep(d) })
}
