package evacuator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/journaler"
)

// Log logs a line for each data centre whose evacuation has begun or ended. The source is that of the version,
// which was known to be the latest the given time ago.
func (c Change) Log(journal *journaler.Journaler, age time.Duration, source string) {
	log := func(event string, dataCentres []string) {
		for _, name := range dataCentres {
			journal.Line(event).Str("data-centre", name).Uint64("evacuations-version", c.Version).
				Dur("age", age).Str("source", source).Msg("")
		}
	}
	log("evacuation-begun", c.Begun)
	log("evacuation-ended", c.Ended)
}
