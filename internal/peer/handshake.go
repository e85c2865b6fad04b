package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const (
	// protocolVersion changes when two versions become incompatible.
	protocolVersion = 2
	// handshakeTimeout bounds the exchange of the four short messages of a
	// handshake, so that an unresponsive peer holds resources only briefly.
	handshakeTimeout = 3 * time.Second
	// maxHandshake is the size limit of a handshake message, in bytes. It bounds
	// the memory that an unauthenticated peer can use.
	maxHandshake = 4 << 10
	nonceBytes   = 32
)

// The labels differ by role, so that the proof of one side can't be replayed as
// the proof of the other.
const (
	labelDialer   = "vanillagrade peer dialer"
	labelAcceptor = "vanillagrade peer acceptor"
)

// ErrHandshake means that the handshake was refused: the other side's claimed
// identity, version or proof is not acceptable.
const ErrHandshake = errors.ConstError("peer: handshake refused")

// hello is the first message of each side. Its nonce makes a proof valid for one
// link only.
type hello struct {
	Version int         `cbor:"1,keyasint"`
	Owner   job.Owner   `cbor:"2,keyasint"`
	To      job.EntryID `cbor:"3,keyasint,omitempty"`
	Nonce   []byte      `cbor:"4,keyasint"`
	// Address is where the sender accepts links. It is empty if peers know the
	// address from their settings.
	Address string `cbor:"5,keyasint,omitempty"`
}

// proof proves knowledge of the secret without revealing it.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// exchange holds the shared secret and both encoded hellos, from which both sides
// compute the proofs.
type exchange struct {
	secret                     []byte
	dialerHello, acceptorHello []byte
}

func (e *exchange) mac(label string) []byte {
	h := hmac.New(sha256.New, e.secret)
	h.Write([]byte(label))
	for _, part := range [][]byte{e.dialerHello, e.acceptorHello} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return h.Sum(nil)
}

// dialHandshake runs the dialling side of a handshake. The dialling side sends its
// proof first, so that an entry reveals no proof to a stranger that merely connects
// to it. checkOwner checks the identity that the other side claims.
func dialHandshake(ctx context.Context, conn *websocket.Conn, own hello, secret []byte, checkOwner func(job.Owner) error) (job.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshake)
	e := exchange{secret: secret}
	var err error
	if e.dialerHello, err = sendHello(ctx, conn, own); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	theirs, raw, err := readHello(ctx, conn)
	if err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	if err := checkOwner(theirs.Owner); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	e.acceptorHello = raw
	if err := writeCBOR(ctx, conn, proof{e.mac(labelDialer)}); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	return theirs.Owner, errors.Trace(readProof(ctx, conn, e.mac(labelAcceptor)))
}

// acceptHandshake runs the accepting side of a handshake. checkHello checks the
// identity that the dialling entry claims.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, own hello, secret []byte, checkHello func(hello) error) (job.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshake)
	theirs, raw, err := readHello(ctx, conn)
	if err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	if theirs.To != own.Owner.Entry {
		return job.Owner{}, errors.Annotatef(ErrHandshake, "the hello is addressed to %q", theirs.To)
	}
	if err := checkHello(theirs); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	e := exchange{secret: secret, dialerHello: raw}
	own.To = theirs.Owner.Entry
	if e.acceptorHello, err = sendHello(ctx, conn, own); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	if err := readProof(ctx, conn, e.mac(labelDialer)); err != nil {
		return job.Owner{}, errors.Trace(err)
	}
	return theirs.Owner, errors.Trace(writeCBOR(ctx, conn, proof{e.mac(labelAcceptor)}))
}

func sendHello(ctx context.Context, conn *websocket.Conn, h hello) ([]byte, error) {
	h.Nonce = make([]byte, nonceBytes)
	if _, err := rand.Read(h.Nonce); err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := cbor.Marshal(h)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return raw, errors.Trace(conn.Write(ctx, websocket.MessageBinary, raw))
}

func readHello(ctx context.Context, conn *websocket.Conn) (hello, []byte, error) {
	var h hello
	_, raw, err := conn.Read(ctx)
	if err != nil {
		return h, nil, errors.Trace(err)
	}
	if err := frameDecoding.Unmarshal(raw, &h); err != nil {
		return h, nil, errors.Annotatef(ErrHandshake, "hello: %v", err)
	}
	if h.Version != protocolVersion {
		return h, nil, errors.Annotatef(ErrHandshake, "peer has protocol version %d, this entry has %d", h.Version, protocolVersion)
	}
	if len(h.Nonce) != nonceBytes {
		return h, nil, errors.Annotatef(ErrHandshake, "the hello has a nonce of %d bytes", len(h.Nonce))
	}
	return h, raw, nil
}

func readProof(ctx context.Context, conn *websocket.Conn, want []byte) error {
	_, raw, err := conn.Read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var p proof
	if err := frameDecoding.Unmarshal(raw, &p); err != nil {
		return errors.Annotatef(ErrHandshake, "proof: %v", err)
	}
	if !hmac.Equal(p.MAC, want) {
		return errors.Annotate(ErrHandshake, "the peer secrets differ")
	}
	return nil
}

func writeCBOR(ctx context.Context, conn *websocket.Conn, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.Write(ctx, websocket.MessageBinary, raw))
}
