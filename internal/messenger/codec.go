package messenger

import (
	"bytes"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the messages of a peer.
const (
	// MaxMessageBytes is the largest size of one WebSocket message.
	MaxMessageBytes = 64 << 20
	maxArrayLen     = 1 << 17
	maxMapPairs     = 1 << 10
	maxNesting      = 16
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Append appends the encoding of a frame to buf. It returns an error of kind
// [KindEncode] if the frame cannot be encoded.
func Append(buf *bytes.Buffer, f *Frame) error {
	if err := encMode.MarshalToBuffer(f, buf); err != nil {
		return &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return nil
}

// Decode decodes the frames of one message and passes each to handle. It stops at
// the first frame that is malformed and returns an error of kind [KindDecode] with
// the offset; the frames before it have been handled.
func Decode(message []byte, handle func(*Frame)) error {
	dec := decMode.NewDecoder(bytes.NewReader(message))
	for {
		f := new(Frame)
		err := dec.Decode(f)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &Error{Op: "decode", Kind: KindDecode, Offset: dec.NumBytesRead(), Err: err}
		}
		if !f.hasValidSubmissions() {
			return &Error{Op: "decode", Kind: KindDecode, Offset: dec.NumBytesRead(), Err: errNoSubmission}
		}
		handle(f)
	}
}

// mustEncMode panics on an error: the options are constants, so that an error is a bug
// of this package, which appears as soon as any program starts.
func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{
		Time:          cbor.TimeUnixDynamic,
		TextMarshaler: cbor.TextMarshalerTextString,
	}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode panics on an error, like [mustEncMode].
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayLen,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
