package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawTarget is a TCP server that reads requests, counts a start for each whole
// one, and then does with the connection as its script says.
type rawTarget struct {
	net.Listener
	mu     sync.Mutex
	starts map[string]int
	conns  int
	// take is how many bytes of a long body are read before the start is
	// counted and the connection closed.
	take int64
}

// longBody is longer than the sockets' buffers.
const longBody = 16 << 20

// step answers one request on c; false closes the connection.
type step func(c net.Conn, r *http.Request) bool

func answer(text string) step {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

func thenClose(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		answer(text)(c, r)
		return false
	}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"

// serveRaw runs the steps in turn on each connection; the last one repeats.
func serveRaw(t *testing.T, steps ...step) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	raw := &rawTarget{Listener: l, starts: map[string]int{}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			raw.mu.Lock()
			raw.conns++
			raw.mu.Unlock()
			go raw.serve(c, steps)
		}
	}()
	return raw
}

func (raw *rawTarget) serve(c net.Conn, steps []step) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := io.Reader(req.Body)
		if req.ContentLength == longBody {
			raw.mu.Lock()
			body = io.LimitReader(body, raw.take)
			raw.mu.Unlock()
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		raw.mu.Lock()
		raw.starts[req.URL.Path]++
		raw.mu.Unlock()
		if req.ContentLength == longBody {
			return
		}
		if !steps[min(i, len(steps)-1)](c, req) {
			return
		}
	}
}

func (raw *rawTarget) most() (most, total int) {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	for _, n := range raw.starts {
		most = max(most, n)
		total += n
	}
	return most, total
}

func link(raw *rawTarget) *Link {
	return NewClient(ClientOptions{MaxAnswer: 64}).Link(raw.Addr().String(), 2)
}
