package peer

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// benchPair links two entries over loopback and returns the dialling one.
func benchPair(b *testing.B) *Links {
	up := make(chan bool, 4)
	there := New(Options{Self: owner("b", 1), Peers: []Peer{{Entry: "a", Zone: "z"}}, Secret: []byte("s")})
	there.Handle(testKind, func(_ context.Context, _ job.Owner, body cbor.RawMessage) (any, error) { return body, nil })
	here := New(Options{
		Self: owner("a", 1), Secret: []byte("s"),
		Peers:  []Peer{{Entry: "b", Zone: "z", Address: serve(b, there)}},
		OnLink: func(_ job.EntryID, u bool) { up <- u },
	})
	run(b, here)
	qt.Assert(b, <-up, qt.IsTrue)
	return here
}

// BenchmarkCall measures the round trip of sequential calls of 200 bytes.
func BenchmarkCall(b *testing.B) {
	links := benchPair(b)
	body := make([]byte, 200)
	for b.Loop() {
		if err := links.Call(b.Context(), "b", testKind, body, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallsAtOnce measures the time per call of many concurrent calls, whose
// frames are coalesced into writes.
func BenchmarkCallsAtOnce(b *testing.B) {
	links := benchPair(b)
	body := make([]byte, 200)
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := links.Call(b.Context(), "b", testKind, body, nil); err != nil {
				b.Error(err)
			}
		}
	})
}
