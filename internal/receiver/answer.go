package receiver

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// incoming is the body of a request. It notes whether all of it was read.
type incoming struct {
	io.ReadCloser
	received bool // received is set once the end was read, and cleared if the body was cut off.
}

// Read implements io.Reader.
func (i *incoming) Read(p []byte) (int, error) {
	n, err := i.ReadCloser.Read(p)
	if err == io.EOF {
		i.received = true
	}
	return n, err
}

// answer is the answer to a request whose body may not have arrived.
type answer struct {
	http.ResponseWriter
	in    *incoming
	begun bool // begun is set once the header was written.
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.closeUnlessReceived()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	a.closeUnlessReceived()
	return a.ResponseWriter.Write(b)
}

// Unwrap returns the writer of the server, for [http.ResponseController].
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// closeUnlessReceived makes the server close the connection after the answer if a part of the body is
// missing. It has no effect after the first call.
func (a *answer) closeUnlessReceived() {
	if a.begun {
		return
	}
	a.begun = true
	if a.in.received {
		return
	}
	abortReads(a.ResponseWriter)
	// A server whose request exceeds a limit sends the answer without reading on, and leaves the caller
	// time to read it before it closes the connection. There is no other way to request this.
	_, _ = http.MaxBytesReader(a.ResponseWriter, io.NopCloser(strings.NewReader(" ")), 0).Read(make([]byte, 1))
}

// abortReads makes the present and later reads of a request's connection fail.
func abortReads(w http.ResponseWriter) {
	// Some connections, such as those of tests, support no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}
