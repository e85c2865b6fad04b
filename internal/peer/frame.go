package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// MaxFrame is the size limit of an encoded frame, in bytes. The largest job
	// that the callers' API accepts (16 MiB by default) fits, including its
	// encoding overhead. Without a limit, one peer could fill this entry's memory.
	MaxFrame = 32 << 20
	// maxMessageBytes is the size limit of a WebSocket message. Frames are
	// coalesced up to coalesceBytes, and a single frame may have MaxFrame bytes. The
	// sum also covers a frame of that size after shorter ones.
	maxMessageBytes = MaxFrame + coalesceBytes
	// coalesceBytes is the size up to which frames are coalesced into one write.
	// At peak load, many frames of a few hundred bytes are queued at once, and a
	// system call for each would cost more CPU time than the frames themselves.
	coalesceBytes = 128 << 10
)

// code is the outcome of a call. It distinguishes a request that was refused by
// its handler from one that never reached a handler, as at-most-once requires.
type code uint8

const (
	codeNone code = iota
	// codeRejected means that the handler refused the request.
	codeRejected
	// codeUnhandled proves that no handler received the request.
	codeUnhandled
)

// frame is one message on a link. A WebSocket message is a CBOR sequence of
// one or more frames.
type frame struct {
	Kind   Kind            `cbor:"1,keyasint,omitempty"`
	Call   uint64          `cbor:"2,keyasint,omitempty"`
	Answer bool            `cbor:"3,keyasint,omitempty"`
	Stamp  uint64          `cbor:"4,keyasint,omitempty"`
	Code   code            `cbor:"5,keyasint,omitempty"`
	Error  string          `cbor:"6,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"7,keyasint,omitempty"`
}

// frameDecoding rejects input that no entry sends: nesting deeper than that of
// the typed messages, and duplicate keys, which two decoders could interpret
// differently.
var frameDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}()

// encodeFrame encodes a frame and enforces MaxFrame.
func encodeFrame(f *frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a frame")
	}
	if len(data) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d", len(data), MaxFrame)
	}
	return data, nil
}

// decodeFrames calls each with every frame of a message and the frame's encoded
// length. It stops at a malformed frame and returns an error, because the start
// of the next frame is then unknown.
func decodeFrames(message []byte, each func(f *frame, length int)) error {
	for len(message) > 0 {
		f := new(frame)
		rest, err := frameDecoding.UnmarshalFirst(message, f)
		if err != nil {
			return errors.Annotate(err, "decoding a frame")
		}
		each(f, len(message)-len(rest))
		message = rest
	}
	return nil
}
