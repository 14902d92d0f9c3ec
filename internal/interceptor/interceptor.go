// Package interceptor answers HTTP requests whose handler panics.
package interceptor

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"sardinelock.dev/sardinelock/internal/journaler"
)

// Wrap returns a handler that answers with status 500 when h panics, and logs the panic.
// Without an answer, a caller would send the same request to the next process.
func Wrap(h http.Handler, journal *journaler.Journaler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler {
				panic(p)
			}
			journal.Line("request-panicked").Str("method", r.Method).Str("path", r.URL.Path).
				Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("")
			http.Error(w, "internal error", http.StatusInternalServerError)
		}()
		h.ServeHTTP(w, r)
	})
}
