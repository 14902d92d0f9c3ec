package placer

import (
	"strconv"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// neverFits refuses a job because no known upstream can hold one of its tasks.
func neverFits(index int) Refusal {
	return Refusal{
		Reason: submitter.ReasonNeverFits,
		Detail: "task " + strconv.Itoa(index) + " needs more memory or accelerators than any known upstream has",
	}
}
