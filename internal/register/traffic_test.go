package register

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
)

// countingMesh counts the messages and bytes that one entry sends.
type countingMesh struct {
	peer.Mesh
	messages, bytes *atomic.Int64
}

// frameBytes approximates the overhead of a message on the link: kind, call number,
// clock reading and the WebSocket and TCP headers.
const frameBytes = 90

func (m countingMesh) count(v any) {
	b, _ := cbor.Marshal(v)
	m.messages.Add(1)
	m.bytes.Add(int64(len(b)) + frameBytes)
}

func (m countingMesh) Call(ctx context.Context, to job.EntryID, kind peer.Kind, req, resp any) error {
	m.count(req)
	return m.Mesh.Call(ctx, to, kind, req, resp)
}

func (m countingMesh) Send(to job.EntryID, kind peer.Kind, msg any) error {
	m.count(msg)
	return m.Mesh.Send(to, kind, msg)
}

func (m countingMesh) Handle(kind peer.Kind, h peer.Handler) {
	m.Mesh.Handle(kind, func(ctx context.Context, from job.Owner, body cbor.RawMessage) (any, error) {
		v, err := h(ctx, from, body)
		if v != nil {
			m.count(v)
		}
		return v, err
	})
}

// largeConfig returns a configuration with 63 teams and 30 services.
func largeConfig(number int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "number: %d\nteams:\n", number)
	for i := range 63 {
		fmt.Fprintf(&b, "  - {name: studio%d, weight: %d, max_queued_tasks: 4000, tasks_per_second: 900}\n", i, i+1)
	}
	b.WriteString("services:\n")
	for i := range 30 {
		fmt.Fprintf(&b, "  - name: service%d\n    urgency: interactive\n    repeatable: true\n    deadline: 800ms\n", i)
	}
	return b.String()
}

// The links between the zones are shared and have little bandwidth. Continuous consensus
// messages would consume part of the 6 KB/s that a daemon may spend on control traffic.
func TestTrafficStaysSmall(t *testing.T) {
	cases := []struct {
		name             string
		voters, learners int
		every            time.Duration
		most             float64 // bytes/s sent by the entry that sends most
	}{
		{"7 entries at rest", 3, 4, 0, 800},
		{"7 entries at 2,900 changes a day", 3, 4, 24 * time.Hour / 2900, 1000},
		{"14 entries at 2,900 changes a day", 5, 9, 24 * time.Hour / 2900, 2000},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, c.voters, c.learners)
			defer f.stopAll()
			time.Sleep(5 * time.Second)
			f.mustApply("v1", 1)
			type counts struct{ messages, bytes atomic.Int64 }
			by := map[job.EntryID]*counts{}
			for _, e := range f.entries {
				by[e] = &counts{}
				fs := f.crash(e, 0)
				f.wrap = func(m peer.Mesh) peer.Mesh { return countingMesh{m, &by[e].messages, &by[e].bytes} }
				f.start(e, fs)
			}
			time.Sleep(5 * time.Second)
			for _, n := range by {
				n.messages.Store(0)
				n.bytes.Store(0)
			}
			const span = 10 * time.Minute
			for start, number := time.Now(), 1; c.every > 0 && time.Since(start) < span; time.Sleep(c.every) {
				number++
				_, err := f.apply(f.entries[number%len(f.entries)], fmt.Sprint(number), largeConfig(number))
				qt.Assert(t, err, qt.IsNil)
			}
			if c.every == 0 {
				time.Sleep(span)
			}
			var mostBytes, mostMessages float64
			for _, n := range by {
				mostBytes = max(mostBytes, float64(n.bytes.Load())/span.Seconds())
				mostMessages = max(mostMessages, float64(n.messages.Load())/span.Seconds())
			}
			t.Logf("%s, file of %d bytes: at most %.0f bytes and %.2f messages a second sent by one entry", c.name, len(largeConfig(1)), mostBytes, mostMessages)
			qt.Assert(t, mostBytes < c.most, qt.IsTrue)
		})
	}
}
