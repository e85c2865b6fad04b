package registrar

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/peer/peertest"
)

// Entries of a zone are restarted one after the other while no ids are claimed. No entry may
// ask the others for records.
func TestNoRecordsAreCollectedWhereNoneAreClaimed(t *testing.T) {
	zones := map[job.EntryID]job.Zone{}
	for i := range 12 {
		zones[job.EntryID(fmt.Sprintf("e%02d", i))] = "z"
	}
	runFleet(t, zones, true, func(f *fleet) {
		before := f.net.Sent(peer.RegistrarSync)
		for i := range 4 {
			id := job.EntryID(fmt.Sprintf("e%02d", i))
			f.kill(id)
			f.advance(5 * time.Second)
			f.start(id)
			f.advance(5 * time.Second)
		}
		qt.Assert(t, f.net.Sent(peer.RegistrarSync)-before, qt.Equals, 0)
	})
}

// Guards against an entry of an older release that answers a request to relay with its own
// records: taken for those of the other entry, they would make a submission start twice.
func TestRelayByAnOlderReleaseIsRefused(t *testing.T) {
	mesh := (&peertest.Network{}).Join(job.Owner{Entry: "a", Incarnation: 1, Zone: "z"})
	for _, from := range []job.EntryID{"b", "c", ""} {
		relay := relayAnswer{mesh, from}
		route := syncRoute{to: "b", relays: []job.EntryID{"c"}, failures: 1}
		var part syncReply
		err := route.call(t.Context(), relay, syncRequest{For: "a"}, &part)
		qt.Assert(t, err == nil, qt.Equals, from == "b")
	}
}

// relayAnswer answers each sync with the records of one entry.
type relayAnswer struct {
	peer.Mesh
	from job.EntryID
}

func (m relayAnswer) Call(_ context.Context, _ job.EntryID, _ peer.Kind, _, answer any) error {
	answer.(*syncReply).From = m.from
	return nil
}
