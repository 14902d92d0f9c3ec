package messenger

import (
	"bytes"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Limits of what a peer may send.
const (
	// MaxMessageBytes bounds one WebSocket message.
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

// Decode reads the frames of one message and passes each to handle. It returns
// an error of kind [KindDecode], which names the offset, at the first frame that
// cannot be read; the frames before it have been handled.
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
		if !f.named() {
			return &Error{Op: "decode", Kind: KindDecode, Offset: dec.NumBytesRead(), Err: errNoSubmission}
		}
		handle(f)
	}
}

// A codec mode is made from constants, so an error here is a fault of this
// package and shows at the first start of any program.
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
