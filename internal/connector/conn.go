// Package connector moves frames between two processes over a WebSocket.
//
// A [Conn] has a bounded queue of outgoing frames and a goroutine that writes them
// while there are any. Frames that are queued during a write are sent together as the
// next message. If a peer reads too slowly, so that its queue is full, its connection is
// closed; senders never block. A connection is also closed if the peer sends a message
// that is too large or cannot be decoded.
package connector

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	queueFrames      = 4096
	maxBatchBytes    = 1 << 20
	writeTimeout     = 5 * time.Second
	handshakeTimeout = 5 * time.Second
)

// Path is the HTTP path at which processes accept connections of peers.
const Path = "/v1/peer"

// Counts are the totals of one connection or of a set of connections.
type Counts struct {
	MessagesSent atomic.Uint64
	BytesSent    atomic.Uint64
	MessagesRead atomic.Uint64
	BytesRead    atomic.Uint64
	// SentKinds holds the messages and bytes sent of each kind, indexed like
	// [messenger.MessageKinds]. A frame's bytes are counted under its leading kind.
	SentKinds [len(messenger.MessageKinds)]KindCount
}

// KindCount holds the totals of one kind of message.
type KindCount struct {
	Messages atomic.Uint64
	Bytes    atomic.Uint64
}

// addSent counts a frame whose encoding has the given size.
func (c *Counts) addSent(f *messenger.Frame, size int) {
	kinds := f.Count()
	for i, n := range kinds {
		if n > 0 {
			c.SentKinds[i].Messages.Add(uint64(n))
		}
	}
	c.SentKinds[kinds.Leading()].Bytes.Add(uint64(size))
}

// Totals are a snapshot of [Counts].
type Totals struct {
	MessagesSent, BytesSent uint64
	MessagesRead, BytesRead uint64
}

// Add returns the sum of two totals.
func (t Totals) Add(o Totals) Totals {
	return Totals{
		MessagesSent: t.MessagesSent + o.MessagesSent,
		BytesSent:    t.BytesSent + o.BytesSent,
		MessagesRead: t.MessagesRead + o.MessagesRead,
		BytesRead:    t.BytesRead + o.BytesRead,
	}
}

// Totals returns the current values of the counts.
func (c *Counts) Totals() Totals {
	return Totals{
		MessagesSent: c.MessagesSent.Load(),
		BytesSent:    c.BytesSent.Load(),
		MessagesRead: c.MessagesRead.Load(),
		BytesRead:    c.BytesRead.Load(),
	}
}

// Conn is one connection to a peer.
type Conn struct {
	ws        *websocket.Conn
	hello     messenger.Hello // hello is the peer's hello without the epochs; it does not change.
	epochs    []uint64        // epochs are the epochs of the peer's hello, until TakeEpochs.
	openedAt  time.Time       // openedAt is when the handshake began, before the peer could end it.
	queue     *frameQueue
	counts    *Counts
	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

// Options configure either side of a connection.
type Options struct {
	Hello  func() messenger.Hello // Hello returns the hello that is sent to the peer.
	Counts *Counts                // Counts receives the totals; it must not be nil.
	Client *http.Client           // Client is used by Dial; nil means the default client.
	// MaxHelloBytes limits the peer's hello, which is read before it is known that the other side is a peer.
	// 0 means the limit of other messages.
	MaxHelloBytes int64
}

// Dial opens a connection. The URL has the scheme ws or wss. It returns an error
// of kind [KindDial] if the peer cannot be reached and [KindHandshake] if it
// speaks another protocol.
func Dial(ctx context.Context, url string, o Options) (*Conn, error) {
	openedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, url, &websocket.DialOptions{
		HTTPClient:      o.Client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindDial, Peer: url, Err: err}
	}
	return handshake(ctx, ws, o, openedAt)
}

// Accept upgrades an HTTP request to a connection. If it returns an error, it has
// answered the request.
func Accept(w http.ResponseWriter, r *http.Request, o Options) (*Conn, error) {
	openedAt := time.Now()
	ws, err := websocket.Accept(smallBuffers{w}, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, &Error{Op: "accept", Kind: KindHandshake, Peer: r.RemoteAddr, Err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	return handshake(ctx, ws, o, openedAt)
}

// handshake exchanges hellos over a WebSocket and returns the connection. It closes the
// WebSocket on error.
func handshake(ctx context.Context, ws *websocket.Conn, o Options, openedAt time.Time) (*Conn, error) {
	ws.SetReadLimit(cmp.Or(o.MaxHelloBytes, messenger.MaxMessageBytes))
	hello := o.Hello()
	peer, err := exchangeHello(ctx, ws, &hello, o.Counts)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	ws.SetReadLimit(messenger.MaxMessageBytes)
	epochs := peer.Epochs
	peer.Epochs = nil
	connCtx, cancel := context.WithCancel(context.Background())
	return &Conn{
		ws:       ws,
		hello:    *peer,
		epochs:   epochs,
		openedAt: openedAt,
		queue:    newFrameQueue(queueFrames),
		counts:   o.Counts,
		ctx:      connCtx,
		cancel:   cancel,
	}, nil
}

// exchangeHello sends this process's hello and returns the peer's.
func exchangeHello(ctx context.Context, ws *websocket.Conn, own *messenger.Hello, counts *Counts) (*messenger.Hello, error) {
	const op = "handshake"
	var buf bytes.Buffer
	if err := messenger.Append(&buf, &messenger.Frame{Hello: own}); err != nil {
		return nil, &Error{Op: op, Kind: KindHandshake, Err: err}
	}
	if err := ws.Write(ctx, websocket.MessageBinary, buf.Bytes()); err != nil {
		return nil, &Error{Op: op, Kind: KindHandshake, Err: err}
	}
	_, message, err := ws.Read(ctx)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindHandshake, Err: err}
	}
	var peer *messenger.Hello
	if err := messenger.Decode(message, func(f *messenger.Frame) { peer = f.Hello }); err != nil {
		return nil, &Error{Op: op, Kind: KindHandshake, Err: err}
	}
	if peer == nil || peer.Version != messenger.ProtocolVersion || peer.Peer == "" {
		return nil, &Error{Op: op, Kind: KindVersion, Err: errVersion}
	}
	counts.MessagesSent.Add(1)
	counts.BytesSent.Add(uint64(buf.Len()))
	counts.MessagesRead.Add(1)
	counts.BytesRead.Add(uint64(len(message)))
	return peer, nil
}

// Hello returns the peer's hello without the epochs.
func (c *Conn) Hello() messenger.Hello { return c.hello }

// OpenedAt returns when this process began the handshake. Of two connections that a peer has
// completed, the one that it dialled later has the later time.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// TakeEpochs returns the epochs of the peer's hello and releases them. They are its
// largest part, and callers need them only once.
func (c *Conn) TakeEpochs() []uint64 {
	epochs := c.epochs
	c.epochs = nil
	return epochs
}

// Send queues a frame, which must not be changed afterwards. If the queue is
// full the connection is closed and Send reports false.
func (c *Conn) Send(f *messenger.Frame) bool {
	if c.ctx.Err() != nil {
		return false
	}
	queued, startWriter := c.queue.push(f)
	if !queued {
		c.Close()
		return false
	}
	if startWriter {
		go c.write()
	}
	return true
}

// Run passes each received frame to handle until the connection ends. It returns the
// error that ended the connection.
func (c *Conn) Run(handle func(*messenger.Frame)) error {
	err := c.readLoop(handle)
	c.Close()
	return err
}

// Close closes the connection immediately, without a closing handshake.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.ws.CloseNow()
	})
}

func (c *Conn) readLoop(handle func(*messenger.Frame)) error {
	for {
		if err := c.readMessage(handle); err != nil {
			return err
		}
	}
}

// readMessage reads one message into a pooled buffer. Decoded frames hold no reference
// to the buffer.
func (c *Conn) readMessage(handle func(*messenger.Frame)) error {
	const op = "read"
	// Close aborts the read. A cancellable context is not needed and would cost memory.
	_, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return &Error{Op: op, Kind: KindClosed, Peer: string(c.hello.Peer), Err: err}
	}
	buf := takeBuffer()
	defer returnBuffer(buf)
	if _, err := buf.ReadFrom(r); err != nil {
		return &Error{Op: op, Kind: KindClosed, Peer: string(c.hello.Peer), Err: err}
	}
	c.counts.MessagesRead.Add(1)
	c.counts.BytesRead.Add(uint64(buf.Len()))
	if err := messenger.Decode(buf.Bytes(), handle); err != nil {
		return &Error{Op: op, Kind: KindProtocol, Peer: string(c.hello.Peer), Err: err}
	}
	return nil
}

// write writes the queued frames and returns when the queue is empty. A connection has
// at most one writer, and none while it is idle, so that the many connections of an
// entry take little memory.
func (c *Conn) write() {
	for {
		if err := c.writeBatch(); err != nil {
			c.Close()
			return
		}
		if c.queue.stopIfEmpty() {
			return
		}
	}
}

// writeBatch writes queued frames as one message. It adds no further frame once the
// message has reached maxBatchBytes.
func (c *Conn) writeBatch() error {
	buf := takeBuffer()
	defer returnBuffer(buf)
	for buf.Len() < maxBatchBytes {
		f := c.queue.pop()
		if f == nil {
			break
		}
		if err := c.appendFrame(buf, f); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	c.counts.MessagesSent.Add(1)
	c.counts.BytesSent.Add(uint64(buf.Len()))
	return c.ws.Write(ctx, websocket.MessageBinary, buf.Bytes())
}

func (c *Conn) appendFrame(buf *bytes.Buffer, f *messenger.Frame) error {
	before := buf.Len()
	if err := messenger.Append(buf, f); err != nil {
		return err
	}
	c.counts.addSent(f, buf.Len()-before)
	return nil
}
