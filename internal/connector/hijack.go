package connector

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
)

// bufferBytes is the size of the read buffer and of the write buffer of an accepted
// connection. Most messages of agents are smaller; a larger one costs one more system
// call, but no copy. The buffers of the HTTP server have 4 KiB each, which adds up over
// 900 idle agents.
const bufferBytes = 1024

// smallBuffers is a response writer whose hijacked connection has buffers of
// bufferBytes.
type smallBuffers struct {
	http.ResponseWriter
}

// Hijack implements http.Hijacker.
func (w smallBuffers) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	reader, err := smallReader(rw.Reader, conn)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, bufio.NewReadWriter(reader, bufio.NewWriterSize(conn, bufferBytes)), nil
}

// smallReader returns a reader of the connection with a small buffer that holds the
// bytes already buffered by the given reader. They must be in the buffer, because the
// caller of Hijack takes them from there.
func smallReader(large *bufio.Reader, conn io.Reader) (*bufio.Reader, error) {
	buffered, err := large.Peek(large.Buffered())
	if err != nil {
		return nil, err
	}
	ahead := bytes.Clone(buffered)
	reader := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(ahead), conn), max(bufferBytes, len(ahead)))
	_, err = reader.Peek(len(ahead))
	return reader, err
}
