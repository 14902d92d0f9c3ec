package connector

import (
	"bytes"
	"sync"
)

// maxPooledBytes is the capacity above which a buffer is not returned to the pool.
const maxPooledBytes = 64 << 10

// bufferPool holds the buffers for messages. All connections share it, so that an idle
// connection holds no buffer.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// takeBuffer returns an empty buffer from the pool.
func takeBuffer() *bytes.Buffer {
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	return buf
}

// returnBuffer returns a buffer to the pool. Its bytes must not be used afterwards.
func returnBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= maxPooledBytes {
		bufferPool.Put(buf)
	}
}
