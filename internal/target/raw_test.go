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

// rawTarget is a TCP server that reads requests, counts the starts, and answers each
// request with a scripted step.
type rawTarget struct {
	net.Listener
	mu     sync.Mutex
	starts map[string]int
	conns  int
	// readLimit is how many bytes of a long body are read before the start is
	// counted and the connection is closed.
	readLimit int64
}

// longBody is the length of a body that exceeds the socket buffers, in bytes.
const longBody = 16 << 20

// step answers one request on c. It returns false to close the connection.
type step func(c net.Conn, r *http.Request) bool

func answer(text string) step {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

func answerThenClose(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		answer(text)(c, r)
		return false
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"

// serveRaw starts a rawTarget that runs the steps in order on each connection. The
// last step repeats.
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
			body = io.LimitReader(body, raw.readLimit)
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

func (raw *rawTarget) startCounts() (most, total int) {
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
