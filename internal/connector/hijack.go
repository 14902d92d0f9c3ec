package connector

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
)

// bufferBytes is the size of the read and of the write buffer of an accepted
// connection. The HTTP server's have 4 KiB each, which 900 idle agents pay for. A
// message beyond the size takes one more system call, without a copy. The value is
// chosen: most messages of agents are below it.
const bufferBytes = 1024

// smallBuffers is a response writer whose hijacked connection has small buffers.
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

// smallReader returns a reader of the connection that has buffered what the given
// one has, which the caller of Hijack looks for in the buffer.
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
