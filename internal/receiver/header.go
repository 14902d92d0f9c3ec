package receiver

import (
	"net/http"
	"strings"
)

// maxFields is the number of fields of a header up to which all are kept. A decoded field takes some 100
// bytes more than its text, so that a header of 16 KiB may take 200 KB.
const maxFields = 64

// keptFields has the names of the fields that are kept of a header with more than maxFields: those that handlers and the
// server read.
var keptFields = map[string]bool{
	"Accept": true, "Accept-Encoding": true, "Connection": true, "Content-Length": true, "Content-Type": true, "Expect": true, "Origin": true, "Sec-Websocket-Extensions": true, "Sec-Websocket-Key": true,
	"Sec-Websocket-Protocol": true, "Sec-Websocket-Version": true, "Upgrade": true, "X-Deadline-Ms": true,
}

// dropFields replaces a header of very many fields by one of the fields that are read. The request must be
// that of the server, which keeps it until it is answered.
func dropFields(req *http.Request) {
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
	for name := range keptFields {
		values := req.Header[name]
		for _, v := range values[:min(len(values), maxFields)] {
			kept[name] = append(kept[name], strings.Clone(v))
		}
	}
	req.Header = kept
}
