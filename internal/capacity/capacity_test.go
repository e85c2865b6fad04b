package capacity

import (
	"bytes"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/platform"
)

func TestControlAtSize(t *testing.T) {
	size := Size{Entries: 10, Targets: 1000, Renew: 2 * time.Second, Starts: 1000, Changes: 86400, TasksPerJob: 10}
	slopes := &Slopes{
		RenewalCPU: 100 * time.Microsecond, RenewalBytes: 500, TargetBytes: 1 << 20,
		Idle: []IdleCost{{Entries: 3, Bytes: 1}, {Entries: 9, Bytes: 270}}, ForwardBytes: 100, ConfigBytes: 7, EventCPU: time.Microsecond, RingMemory: 5 << 20,
		LeaseRenewalBytes: 7, Exchange: []ExchangeCost{{Entries: 3, Bytes: 1}, {Entries: 11, Bytes: 30}},
	}
	sum := Sum(Control(&size, slopes))
	qt.Assert(t, sum.Cores > 0.0053-1e-9 && sum.Cores < 0.0053+1e-9, qt.IsTrue, qt.Commentf("%v", sum.Cores))
	// Each daemon holds 100 targets. It renews the leases of each 1/0.35 times per second
	// and takes part in one exchange per second.
	qt.Assert(t, math.Round(sum.Bytes), qt.Equals, 50*600.0+270+7+2000+30)
	qt.Assert(t, sum.Memory, qt.Equals, 105.0*(1<<20))
}

// A measurement that fails or measures nothing would add zero to the sums of the capacity
// page, which are then too low.
func TestMeasurements(t *testing.T) {
	m := &Slopes{}
	for _, part := range Parts(Platform{WorkerClient: platform.NewClient(nil).Worker, FakeWorker: platform.FakeWorker}) {
		qt.Assert(t, part(m, time.Millisecond), qt.IsNil)
	}
	for _, p := range m.Points {
		qt.Assert(t, p.Value > 0, qt.IsTrue, qt.Commentf("%s at %s", p.What, p.At))
	}
	size := TwoYears()
	var out bytes.Buffer
	qt.Assert(t, WritePoints(&out, m), qt.IsNil)
	qt.Assert(t, WriteSize(&out, &size, m), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, "| budget | 2.50 | 6144 | 64.0 |")
}
