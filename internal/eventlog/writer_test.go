package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordedWrites is a writer that keeps each write separately.
type recordedWrites struct {
	mu     sync.Mutex
	writes [][]byte
}

func (p *recordedWrites) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes = append(p.writes, bytes.Clone(b))
	return len(b), nil
}

// An entry that resumes after a pause writes hundreds of lines at once. Its log reader
// reads only a bounded part of each write, so a single large write would lose the last
// lines, among them the one that reports the pause.
func TestBurstIsWrittenInChunksOfWholeLines(t *testing.T) {
	var out recordedWrites
	w := NewWriter(&out)
	var want strings.Builder
	for i := range 400 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 200))
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		qt.Assert(t, err, qt.IsNil)
	}
	long := strings.Repeat("y", 2*maxWrite) + "\n"
	want.WriteString(long)
	_, err := w.Write([]byte(long))
	qt.Assert(t, err, qt.IsNil)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	for _, chunk := range out.writes {
		qt.Assert(t, chunk[len(chunk)-1], qt.Equals, byte('\n'))
		qt.Assert(t, len(chunk) <= maxWrite || bytes.Count(chunk, []byte("\n")) == 1, qt.IsTrue, qt.Commentf("%d bytes", len(chunk)))
	}
	qt.Assert(t, string(bytes.Join(out.writes, nil)), qt.Equals, want.String())
}
