package malformed

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// A broken sender sends a thousand messages in ten seconds. The log must show that there
// is one, what is wrong and how many messages there were, without losing other lines.
func TestRepeatedMessagesAreLoggedRarely(t *testing.T) {
	var text bytes.Buffer
	tally := New(slog.New(slog.NewTextHandler(&text, nil)))
	start := time.Unix(1000, 0)
	for i := range 1000 {
		tally.Record(start.Add(time.Duration(i)*LogInterval/1000), Announcement, errors.New("no address"))
	}
	qt.Assert(t, tally.Total(Announcement), qt.Equals, uint64(1000))
	qt.Assert(t, tally.Total(Row), qt.Equals, uint64(0))
	qt.Assert(t, strings.Count(text.String(), "\n"), qt.Equals, 1)
	qt.Assert(t, strings.Contains(text.String(), "no address"), qt.IsTrue)
	tally.Record(start.Add(LogInterval), Announcement, errors.New("no zone"))
	qt.Assert(t, strings.Contains(text.String(), "untold_before=999"), qt.IsTrue)
	tally.Record(start.Add(LogInterval), Row, errors.New("no task"))
	qt.Assert(t, strings.Count(text.String(), "\n"), qt.Equals, 3)
}

// Components without a tally must work.
func TestNilTallyIsUsable(t *testing.T) {
	var none *Tally
	none.Record(time.Now(), Row, errors.New("x"))
	qt.Assert(t, none.Total(Row), qt.Equals, uint64(0))
}
