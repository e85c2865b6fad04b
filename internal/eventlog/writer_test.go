package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pieces keeps each write by itself.
type pieces struct {
	mu  sync.Mutex
	all [][]byte
}

func (p *pieces) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, bytes.Clone(b))
	return len(b), nil
}

// An entry that has just gone on after a pause writes hundreds of lines within a moment.
// What reads them takes a bounded piece of each write: if they come in one write, the
// lines behind are lost, among them the one that tells of the pause.
func TestABusyMomentIsWrittenInPiecesOfWholeLines(t *testing.T) {
	var out pieces
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
	for _, piece := range out.all {
		qt.Assert(t, piece[len(piece)-1], qt.Equals, byte('\n'))
		qt.Assert(t, len(piece) <= maxWrite || bytes.Count(piece, []byte("\n")) == 1, qt.IsTrue, qt.Commentf("%d bytes", len(piece)))
	}
	qt.Assert(t, string(bytes.Join(out.all, nil)), qt.Equals, want.String())
}
