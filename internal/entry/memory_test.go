package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/settings"
)

// Guards against a budget for submissions that is larger than the VM, so that the process is
// killed before any submission is refused for its memory.
func TestBudgetFollowsTheMemoryOfTheVM(t *testing.T) {
	const memory = 144 << 20
	e, err := New(Options{Settings: settings.Entry{
		Name: "a1", Zone: "a", CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0", MemoryBytes: memory,
	}})
	qt.Assert(t, err, qt.IsNil)
	defer e.Kill()
	qt.Assert(t, e.memory.Limit() > 0, qt.IsTrue)
	qt.Assert(t, e.memory.Limit() < memory/2, qt.IsTrue)
}
