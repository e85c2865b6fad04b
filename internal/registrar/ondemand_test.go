package registrar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
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
