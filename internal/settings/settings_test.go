package settings

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

func valid() Entry {
	return Entry{Name: "a1", Zone: "a", CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", OperatorAddr: "127.0.0.1:3"}
}

// An operator mistypes a flag in a unit file. The process must report the wrong setting
// in one line and must not start with an incomplete configuration.
func TestCheckNamesTheWrongSetting(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Entry)
		want   string
	}{
		{"no name", func(e *Entry) { e.Name = "" }, "--name.*"},
		{"no zone", func(e *Entry) { e.Zone = "" }, "--az.*"},
		{"host name", func(e *Entry) { e.CallerAddr = "entry:80" }, `--caller-addr: "entry:80" is not IP:PORT`},
		{"unknown voter", func(e *Entry) { e.Voters = []job.EntryID{"x"} }, `voter "x" is not among --peers`},
		{"even voters", func(e *Entry) { e.Peers = peers("b1"); e.Voters = []job.EntryID{"a1", "b1"}; e.DataDir = "d" }, "2 voters.*"},
		{"voter without disk", func(e *Entry) { e.Voters = []job.EntryID{"a1"} }, "a voter needs --data"},
		{"negative memory", func(e *Entry) { e.MemoryBytes = -1 }, "--memory-mb must not be negative"},
		{"open peers", func(e *Entry) { e.PeerAddr = "10.0.0.1:2" }, ".*VANILLAGRADE_PEER_SECRET.*"},
		{"open operators", func(e *Entry) { e.OperatorAddr = "10.0.0.1:2" }, ".*VANILLAGRADE_OPERATOR_TOKEN.*"},
		{"zone clash", func(e *Entry) { e.Peers = []Peer{{Entry: "a1", Zone: "b", Address: "127.0.0.1:9"}} }, "--az says.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := valid()
			test.change(&e)
			qt.Assert(t, e.Check(), qt.ErrorMatches, test.want)
		})
	}
	e := valid()
	qt.Assert(t, e.Check(), qt.IsNil)
}

func peers(names ...job.EntryID) []Peer {
	var all []Peer
	for _, n := range names {
		all = append(all, Peer{Entry: n, Zone: "z", Address: "127.0.0.1:9"})
	}
	return all
}

func TestParsePeers(t *testing.T) {
	got, err := ParsePeers("a1=a@127.0.0.1:1, b1=b@127.0.0.1:2")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []Peer{{"a1", "a", "127.0.0.1:1"}, {"b1", "b", "127.0.0.1:2"}})
	for _, wrong := range []string{"a1", "a1=a", "a1=a@host:1", "=a@127.0.0.1:1", "a=z@127.0.0.1:1,a=z@127.0.0.1:2"} {
		_, err := ParsePeers(wrong)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", wrong))
	}
}

// Guards against an entry with a fifth of a processor that runs threads on all processors
// of its machine, where they wake each other.
func TestThreadsFollowTheProcessors(t *testing.T) {
	for _, c := range []struct {
		part     float64
		machine  int
		expected int
	}{{0, 8, 8}, {0.192, 8, 1}, {1, 8, 1}, {1.5, 8, 2}, {16, 8, 8}, {0.5, 1, 1}} {
		e := Entry{Processors: c.part}
		qt.Check(t, e.Threads(c.machine), qt.Equals, c.expected, qt.Commentf("%g of %d", c.part, c.machine))
	}
}
