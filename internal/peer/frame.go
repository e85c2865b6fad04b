package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	// MaxFrame is the largest encoded frame, in bytes. It holds the largest
	// job that the callers' interface takes (16 MiB by default) with room for
	// its encoding; a longer one would let one peer fill this entry's memory.
	MaxFrame = 32 << 20
	// maxMessage bounds one WebSocket message: frames are joined up to
	// coalesceBytes, so the largest is one full frame behind a short one.
	maxMessage = MaxFrame + coalesceBytes
	// coalesceBytes is how much is joined into one write. At the peak many
	// frames of a few hundred bytes wait at once, and one system call for each
	// would cost more processor time than the frames themselves.
	coalesceBytes = 128 << 10
)

// code tells the sides of a call apart in the ways that at-most-once needs.
type code uint8

const (
	codeNone code = iota
	// codeRejected is the handler's own refusal.
	codeRejected
	// codeUnhandled proves that no handler saw the request.
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

// frameDecoding refuses what no entry sends: nesting beyond that of the typed
// messages and doubled keys, which two readers could understand differently.
var frameDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants of this file
	}
	return mode
}()

// encodeFrame returns the frame's bytes.
func encodeFrame(f *frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errors.Annotate(err, "encoding a frame")
	}
	if len(data) > MaxFrame {
		return nil, errors.Errorf("frame of %d bytes, at most %d", len(data), MaxFrame)
	}
	return data, nil
}

// decodeFrames calls each for every frame of a message, with its length. A
// malformed frame ends it with an error: what follows can't be told apart.
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
