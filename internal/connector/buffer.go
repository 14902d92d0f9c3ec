package connector

import (
	"bytes"
	"sync"
)

// keepBytes is the largest buffer that is kept between messages. The value is
// chosen.
const keepBytes = 64 << 10

// buffers has the buffers of messages; connections do not keep one each.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// takeBuffer returns an empty buffer.
func takeBuffer() *bytes.Buffer {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	return buf
}

// returnBuffer gives a buffer back, whose bytes must not be used afterwards.
func returnBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= keepBytes {
		buffers.Put(buf)
	}
}
