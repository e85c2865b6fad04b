package entry

import (
	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/peer"
	"github.com/vanillagrade/vanillagrade/internal/register"
	"github.com/vanillagrade/vanillagrade/internal/storage"
	"github.com/vanillagrade/vanillagrade/internal/timeline"
)

// assembleShared creates the parts that entries share: links, configuration, time line.
func (e *Entry) assembleShared() error {
	s := &e.opts.Settings
	var peers []peer.Peer
	var names []job.EntryID
	for _, p := range s.Others() {
		peers = append(peers, peer.Peer{Entry: p.Entry, Zone: p.Zone, Address: p.Address})
		names = append(names, p.Entry)
	}
	links := peer.Options{Self: e.self, Peers: peers, Secret: s.PeerSecret, TrustNetwork: s.TrustNetwork, Clock: e.clock, Log: e.log}
	if s.Discover {
		e.configureDiscovery(&links)
	}
	e.links = peer.New(links)
	if s.Discover {
		e.startDiscovery()
	}
	store, err := e.openStore()
	if err != nil {
		return errors.Trace(err)
	}
	e.store = store
	options := register.Options{
		Mesh:    e.links,
		Store:   store,
		Voters:  s.Voters,
		Entries: names,
		Parse:   e.opts.Parse,
		Log:     e.log,
		Events:  e.events,
	}
	if s.Discover {
		e.configureVoterDiscovery(&options)
	}
	e.register = register.New(options)
	e.config = e.register
	if e.opts.Config != nil {
		e.config = e.opts.Config
	}
	timeline.Serve(e.links, e.ring)
	return nil
}

// openStore opens the data folder; nil on a VM without a disk.
func (e *Entry) openStore() (*storage.Store, error) {
	if e.opts.Settings.DataDir == "" {
		return nil, nil
	}
	store, err := storage.Open(e.opts.Settings.DataDir, storage.OS{})
	return store, errors.Annotate(err, "--data")
}
