package receiver

import (
	"net/http"
	"slices"
	"strings"
)

// maxFields is the number of fields of a header up to which all are kept. A decoded field takes some 100
// bytes more than its text, so that a header of 16 KiB may take 200 KB.
const maxFields = 64

// keptFields has the names of the fields that are kept of a header with more than maxFields, beside those of
// [Limits]: those that the server and the libraries of handlers read.
var keptFields = []string{
	"Accept", "Accept-Encoding", "Connection", "Content-Length", "Content-Type", "Expect", "Origin",
	"Sec-Websocket-Extensions", "Sec-Websocket-Key", "Sec-Websocket-Protocol", "Sec-Websocket-Version", "Upgrade",
}

// dropFields replaces a header of very many fields by one of the fields that are read. The request must be
// that of the server, which keeps it until it is answered.
func (r *Receiver) dropFields(req *http.Request) {
	if len(req.Trailer) > maxFields {
		req.Trailer = nil
	}
	n := 0
	for _, values := range req.Header {
		n += len(values)
	}
	if n <= maxFields {
		return
	}
	kept := make(http.Header)
	for _, name := range slices.Concat(keptFields, r.limits.KeptFields) {
		values := req.Header[name]
		for _, v := range values[:min(len(values), maxFields)] {
			kept[name] = append(kept[name], strings.Clone(v))
		}
	}
	req.Header = kept
}
