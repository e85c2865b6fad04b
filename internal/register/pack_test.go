package register

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

// A broken or malicious peer sends a few bytes that unpack to gigabytes, or bytes that
// are no packed file. An entry must refuse both without crashing.
func TestUnpackIsBounded(t *testing.T) {
	for _, n := range []int{0, 1, config.MaxFileBytes} {
		body := bytes.Repeat([]byte("a"), n)
		got, err := unpack(pack(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
	}
	_, err := unpack(pack(make([]byte, 64<<20)))
	qt.Assert(t, err, qt.ErrorMatches, ".*more than 1048576 bytes.*")
	_, err = unpack([]byte("no packed file"))
	qt.Assert(t, err, qt.IsNotNil)
	text := []byte(largeConfig(1))
	t.Logf("a file of %d bytes is packed to %d", len(text), len(pack(text)))
	qt.Assert(t, len(pack(text)) < len(text)/4, qt.IsTrue)
}
