package dispatcher

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// writeAnswer writes the answer to a submission.
func writeAnswer(w http.ResponseWriter, a *messenger.Answer) {
	out := answerOf(a)
	w.Header().Set("Content-Type", "application/json")
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(a.RetryAfter))
	}
	w.WriteHeader(statusOf(out.Outcome, out.Reason))
	// Writing fails if the caller has disconnected. The owner keeps the answer for a
	// resubmission.
	_ = json.NewEncoder(w).Encode(out)
}

// statusOf returns the HTTP status of an answer.
func statusOf(outcome submitter.Outcome, reason submitter.Reason) int {
	switch outcome {
	case submitter.OutcomeComplete:
		return http.StatusOK
	case submitter.OutcomeNotRun:
		return statusOfNotRun(reason)
	case submitter.OutcomeFailed:
		if reason == submitter.ReasonDeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if reason == submitter.ReasonConflictingRequest {
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}

func statusOfNotRun(reason submitter.Reason) int {
	switch reason {
	case submitter.ReasonQuotaExceeded:
		return http.StatusTooManyRequests
	case submitter.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func writeProblem(w http.ResponseWriter, p *submitter.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
