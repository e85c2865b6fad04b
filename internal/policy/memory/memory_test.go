package memory

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a budget that is larger than the VM: 512 MB for submissions on VMs of 144 MB
// bounded nothing.
func TestSharesFitIntoTheMemory(t *testing.T) {
	for _, megabytes := range []int64{0, 1, 144, 284, 1024, 24 << 10} {
		total := megabytes << 20
		s := Share(total)
		if total == 0 {
			total = defaultTotal
		}
		qt.Check(t, s.Submissions > 0, qt.IsTrue)
		qt.Check(t, 2*s.Submissions < s.Heap, qt.IsTrue, qt.Commentf("%d MB", megabytes))
		qt.Check(t, s.Heap < total, qt.IsTrue, qt.Commentf("%d MB", megabytes))
	}
}
