package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

const testKind Kind = 900

// proxy forwards connections between two entries. It can close them, or stall all
// data while they stay open.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	stalled  chan struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	w := &proxy{listener: ln, target: target}
	t.Cleanup(func() { ln.Close(); w.closeConns() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", w.target)
			if err != nil {
				in.Close()
				continue
			}
			w.mu.Lock()
			w.conns = append(w.conns, in, out)
			w.mu.Unlock()
			go w.copy(out, in)
			go w.copy(in, out)
		}
	}()
	return w
}

func (w *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		w.mu.Lock()
		stalled := w.stalled
		w.mu.Unlock()
		if stalled != nil {
			<-stalled
		}
		if _, err := to.Write(buf[:n]); err != nil {
			from.Close()
			return
		}
	}
}

func (w *proxy) closeConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
	if w.stalled != nil {
		close(w.stalled)
		w.stalled = nil
	}
}

func (w *proxy) stall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalled = make(chan struct{})
}

// pair is two entries with a proxy between them.
type pair struct {
	a, b  *Links
	proxy *proxy
	links chan bool // the OnLink events of a
}

func owner(name job.EntryID, incarnation job.Incarnation) job.Owner {
	return job.Owner{Entry: name, Incarnation: incarnation, Zone: "z"}
}

func serve(t testing.TB, l *Links) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := l.Server()
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return ln.Addr().String()
}

func run(t testing.TB, l *Links) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

func newPair(t *testing.T, secretA, secretB string, set func(a, b *Links)) *pair {
	p := &pair{links: make(chan bool, 64)}
	p.b = New(Options{Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z", Address: "127.0.0.1:1"}}, Secret: []byte(secretB)})
	p.proxy = newProxy(t, serve(t, p.b))
	p.a = New(Options{
		Self: owner("a", 1), Secret: []byte(secretA),
		Peers:  []Peer{{Entry: "b", Zone: "z", Address: p.proxy.listener.Addr().String()}},
		OnLink: func(_ job.EntryID, up bool) { p.links <- up },
	})
	if set != nil {
		set(p.a, p.b)
	}
	run(t, p.b)
	run(t, p.a)
	return p
}

func (p *pair) await(up bool) {
	for got := range p.links {
		if got == up {
			return
		}
	}
}

func echo(_ context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
	var s string
	if err := cbor.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	if s == "refuse" {
		return nil, errors.New("because")
	}
	return fmt.Sprintf("%s to %s/%d", s, from.Entry, from.Incarnation), nil
}

// The error of a Call decides whether a task may start elsewhere, so each kind of
// failure must map to the right error.
func TestCallOutcomes(t *testing.T) {
	p := newPair(t, "s", "s", func(a, b *Links) { b.Handle(testKind, echo); a.Handle(testKind, echo) })
	p.await(true)
	var got string
	qt.Assert(t, p.a.Call(t.Context(), "b", testKind, "hello", &got), qt.IsNil)
	qt.Assert(t, got, qt.Equals, "hello to a/1")
	qt.Assert(t, p.b.Call(t.Context(), "a", testKind, "back", &got), qt.IsNil)
	qt.Assert(t, got, qt.Equals, "back to b/1")
	qt.Assert(t, p.a.Call(t.Context(), "b", testKind, "refuse", nil), qt.ErrorIs, ErrRejected)
	qt.Assert(t, p.a.Call(t.Context(), "b", testKind+1, "x", nil), qt.ErrorIs, ErrNotSent)
	qt.Assert(t, p.a.Call(t.Context(), "c", testKind, "x", nil), qt.ErrorIs, ErrNotSent)
	qt.Assert(t, p.a.Call(t.Context(), "b", testKind, make([]byte, MaxFrame), nil), qt.ErrorIs, ErrNotSent)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	err := p.a.Call(ended, "b", testKind, "x", nil)
	qt.Assert(t, errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoAnswer) || err == nil, qt.IsTrue)
	for _, s := range p.a.Stats() {
		if s.Kind == testKind {
			qt.Assert(t, s.MessagesIn >= 3 && s.MessagesOut >= 3 && s.BytesOut > 0, qt.IsTrue)
		}
	}
}

// A link breaks while the peer handles a request. The call must fail with
// ErrNoAnswer and not with ErrNotSent, because the peer may have acted. Once the
// link is back, calls work again.
func TestBrokenLinkLeavesHandedCallsUnknown(t *testing.T) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	p := newPair(t, "s", "s", func(_, b *Links) {
		b.Handle(testKind, func(context.Context, job.Owner, cbor.RawMessage) (any, error) {
			entered <- struct{}{}
			<-release
			return "late", nil
		})
	})
	p.await(true)
	failed := make(chan error, 1)
	go func() { failed <- p.a.Call(context.Background(), "b", testKind, "x", nil) }()
	<-entered
	p.proxy.closeConns()
	qt.Assert(t, <-failed, qt.ErrorIs, ErrNoAnswer)
	close(release)
	p.await(false)
	p.await(true)
	qt.Assert(t, p.a.Call(t.Context(), "b", testKind, "x", nil), qt.IsNil)
}

// A peer stops reading, as a stalled VM does. Senders must not block, and the queue
// must stay bounded. When the link breaks, a call that is still queued fails with
// ErrNotSent, and a call that was handed off to the socket fails with ErrNoAnswer.
func TestStalledPeerNeitherBlocksNorGrows(t *testing.T) {
	received := make(chan struct{}, 1)
	p := newPair(t, "s", "s", func(_, b *Links) {
		b.Handle(testKind, func(ctx context.Context, _ job.Owner, _ cbor.RawMessage) (any, error) {
			received <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	p.await(true)
	handed, waiting := make(chan error, 1), make(chan error, 1)
	go func() { handed <- p.a.Call(context.Background(), "b", testKind, "x", nil) }()
	<-received
	p.proxy.stall()
	block := make([]byte, 8<<20)
	dropped := false
	for range 64 {
		if err := p.a.Send("b", testKind+1, block); err != nil {
			qt.Assert(t, err, qt.ErrorIs, ErrNotSent)
			dropped = true
			break
		}
	}
	qt.Assert(t, dropped, qt.IsTrue)
	l := p.a.current("b")
	go func() { waiting <- p.a.Call(context.Background(), "b", testKind, "y", nil) }()
	for queued := 0; queued < 2; { // the second call is in the table of calls
		l.mu.Lock()
		queued = len(l.calls)
		l.mu.Unlock()
	}
	p.proxy.closeConns()
	qt.Assert(t, <-handed, qt.ErrorIs, ErrNoAnswer)
	qt.Assert(t, <-waiting, qt.ErrorIs, ErrNotSent)
}

// A client without the secret, or an entry with wrong settings, must get no link in
// either direction.
func TestHandshakeRefuses(t *testing.T) {
	tests := []struct {
		name        string
		secretA     string
		self        job.Owner
		peer        Peer
		wantInError string
	}{
		{"wrong secret", "other", owner("a", 1), Peer{Entry: "b", Zone: "z"}, ""},
		{"no secret", "", owner("a", 1), Peer{Entry: "b", Zone: "z"}, ""},
		{"unknown entry", "s", owner("aa", 1), Peer{Entry: "b", Zone: "z"}, ""},
		{"wrong zone of the dialler", "s", job.Owner{Entry: "a", Zone: "y"}, Peer{Entry: "b", Zone: "z"}, ""},
		{"wrong name of the peer", "s", owner("a", 1), Peer{Entry: "bb", Zone: "z"}, ""},
		{"wrong zone of the peer", "s", owner("a", 1), Peer{Entry: "b", Zone: "y"}, "settings say"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(Options{Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z"}}, Secret: []byte("s")})
			test.peer.Address = serve(t, b)
			a := New(Options{Self: test.self, Peers: []Peer{test.peer}, Secret: []byte(test.secretA)})
			err := a.dial(t.Context(), a.remotes[test.peer.Entry])
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, strings.Contains(err.Error(), test.wantInError), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, a.Up(test.peer.Entry), qt.IsFalse)
			qt.Assert(t, b.Up("a"), qt.IsFalse)
		})
	}
}

// Without a secret, anybody on the network could send tasks to an entry. The entry
// must refuse to start with peer addresses other than loopback.
func TestNoSecretMeansLoopback(t *testing.T) {
	l := New(Options{Self: owner("a", 1), Peers: []Peer{{Entry: "b", Zone: "z", Address: "10.1.2.3:7000"}}})
	qt.Assert(t, l.Run(t.Context()), qt.ErrorMatches, ".*without a peer secret.*")
}

// An entry is restarted while its old process is still running, or a packet of the
// old process arrives late. A link of the earlier incarnation must never replace one
// of the later incarnation.
func TestEarlierIncarnationNeverReplacesLater(t *testing.T) {
	links := make(chan bool, 8)
	b := New(Options{
		Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z"}}, Secret: []byte("s"),
		OnLink: func(_ job.EntryID, up bool) { links <- up },
	})
	address := serve(t, b)
	newLinks := func(n job.Incarnation) *Links {
		return New(Options{Self: owner("a", n), Peers: []Peer{{Entry: "b", Zone: "z", Address: address}}, Secret: []byte("s")})
	}
	run(t, newLinks(5))
	qt.Assert(t, <-links, qt.IsTrue)
	old := newLinks(4)
	qt.Assert(t, old.dial(t.Context(), old.remotes["b"]), qt.IsNotNil)
	qt.Assert(t, b.current("a").peer.Incarnation, qt.Equals, job.Incarnation(5))
	run(t, newLinks(6))
	for up := false; !up; up = <-links {
	}
	qt.Assert(t, b.current("a").peer.Incarnation, qt.Equals, job.Incarnation(6))
}

// A process ends while its machine keeps running. Its peers, whether they dial it or
// are dialled by it, must learn that it is down rather than partitioned, so that its
// targets are served again immediately.
func TestRefusedConnectionsAreReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := ln.Addr().String()
	for _, self := range []job.EntryID{"a", "c"} { // one dials b, one is dialled
		l := New(Options{Self: owner(self, 1), Peers: []Peer{{Entry: "b", Zone: "z", Address: address}}})
		qt.Assert(t, l.Refused("b"), qt.IsFalse)
		ln.Close()
		run(t, l)
		for !l.Refused("b") {
			runtime.Gosched()
		}
	}
}

// numbered is padded so that writing a queue of such messages takes some time.
type numbered struct {
	N   int
	Pad []byte
}

// A planned stop right after sending messages must not lose them, and the messages
// of one sender must arrive in order.
func TestStopSendsWhatIsQueuedInOrder(t *testing.T) {
	const messages = 500
	got := make(chan int, messages)
	b := New(Options{Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z"}}})
	b.HandleInOrder(testKind, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) {
		var m numbered
		err := cbor.Unmarshal(body, &m)
		got <- m.N
		return nil, err
	})
	up := make(chan bool, 4)
	a := New(Options{
		Self: owner("a", 1), Peers: []Peer{{Entry: "b", Zone: "z", Address: serve(t, b)}},
		OnLink: func(_ job.EntryID, u bool) { up <- u },
	})
	stop := run(t, a)
	<-up
	for i := range messages {
		qt.Assert(t, a.Send("b", testKind, numbered{i, make([]byte, 4<<10)}), qt.IsNil)
	}
	stop()
	for i := range messages {
		qt.Assert(t, <-got, qt.Equals, i)
	}
}

// A stranger sends a request that is no WebSocket upgrade and keeps the connection
// open. It must occupy no more than one of the bounded handshakes.
func TestStrangerGetsNothing(t *testing.T) {
	b := New(Options{Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z"}}, Secret: []byte("s")})
	conn, err := net.Dial("tcp", serve(t, b))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", Path)
	reply := make([]byte, 12)
	_, err = io.ReadFull(conn, reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(reply), qt.Equals, "HTTP/1.1 426")
	qt.Assert(t, b.handshakes.Load() <= 1, qt.IsTrue)
}

// A damaged or malicious frame must cause an error, never a panic. A frame that
// decodes must encode again and keep its kind.
func FuzzDecodeFrames(f *testing.F) {
	addSeed := func(frames ...frame) {
		var b []byte
		for i := range frames {
			data, err := encodeFrame(&frames[i])
			if err != nil {
				f.Fatal(err)
			}
			b = append(b, data...)
		}
		f.Add(b)
	}
	body, _ := cbor.Marshal(map[string]int{"x": 1})
	addSeed(frame{Kind: Heartbeat, Body: body})
	addSeed(frame{Kind: BatchOffer, Call: 7, Stamp: 1 << 60, Body: body}, frame{Kind: BatchOffer, Call: 7, Answer: true, Code: codeRejected, Error: "no"})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x07, 0x9f, 0x9f, 0x9f})
	f.Add([]byte{0xa2, 0x01, 0x01, 0x01, 0x02})
	f.Fuzz(func(t *testing.T, message []byte) {
		total := 0
		err := decodeFrames(message, func(fr *frame, length int) {
			total += length
			again, err := encodeFrame(fr)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decodeFrames(again, func(back *frame, _ int) { qt.Assert(t, back.Kind, qt.Equals, fr.Kind) }), qt.IsNil)
		})
		qt.Assert(t, err != nil || total == len(message), qt.IsTrue)
	})
}
