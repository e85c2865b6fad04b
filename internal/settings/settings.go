// Package settings holds the process settings of an entry, which come from flags and the
// environment and are checked before any listener starts. Settings that operators change
// at run time are in the declarative file (package config).
package settings

import (
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
	"github.com/vanillagrade/vanillagrade/internal/vmmemory"
)

// Peer is one entry listed in the settings.
type Peer struct {
	Entry   job.EntryID
	Zone    job.Zone
	Address string
}

// Entry is the settings of one entry process.
type Entry struct {
	Name         job.EntryID
	Zone         job.Zone
	CallerAddr   string
	PeerAddr     string
	OperatorAddr string
	// MetricsAddr is the address that serves metrics as text; empty disables it.
	MetricsAddr string
	// Zones lists the availability zones of the fleet, beside those of the known entries.
	Zones []job.Zone
	// Peers lists all entries and may include this one.
	Peers []Peer
	// DataDir is the folder on a disk, or empty on a VM without one.
	DataDir string
	// Voters lists the entries that agree on configurations.
	Voters []job.EntryID
	// PeerSecret authenticates entries to each other, and OperatorToken operators to
	// an entry. The secret may be empty only if the peer addresses are loopback or
	// TrustNetwork is set, the token only if OperatorAddr is loopback.
	PeerSecret    []byte
	OperatorToken string
	// TrustNetwork declares that only entries can reach the peer addresses, so that
	// PeerSecret may be empty for entries on other machines too.
	TrustNetwork bool
	// Discover makes the entry find the others through Seeds; Peers is empty then.
	Discover bool
	// Seeds lists peer addresses at which other entries can be queried.
	Seeds []string
	// Founders lists the peer addresses of the entries that form the register at the
	// first start of a fleet that uses Discover; it is empty at every later start.
	Founders []string
	// WantVoters is the number of voters that a fleet using Discover maintains.
	WantVoters int
	// RepairWithin is the time, from the start of a lost voter's successor, within which
	// the voter must be replaced; from then on the fleet must tolerate the next loss. Zero
	// means that it is not specified.
	RepairWithin time.Duration
	// Processors is the number of processors that this VM has, which may be a fraction
	// of one. LinkMbps is the rate of its link in megabits per second. Zero means unknown.
	Processors float64
	LinkMbps   float64
	// MemoryBytes is the memory that this process may use; zero means that of the machine.
	MemoryBytes int64
}

// Threads returns how many threads may run at once if the machine has the given number of
// processors: Processors rounded up, or all of them if Processors is unknown. More threads
// would wake each other for work beyond the VM's share.
func (e *Entry) Threads(processors int) int {
	if e.Processors <= 0 {
		return processors
	}
	return min(processors, int(math.Ceil(e.Processors)))
}

// maxNameBytes bounds names, because every message and event contains them.
const maxNameBytes = 64

// ParsePeers parses the value of --peers: NAME=ZONE@IP:PORT,...
func ParsePeers(list string) ([]Peer, error) {
	var peers []Peer
	seen := map[job.EntryID]bool{}
	for item := range strings.SplitSeq(list, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		p, err := parsePeer(item)
		if err != nil {
			return nil, err
		}
		if seen[p.Entry] {
			return nil, errors.Errorf("peer %q is listed twice", p.Entry)
		}
		seen[p.Entry] = true
		peers = append(peers, p)
	}
	return peers, nil
}

func parsePeer(item string) (Peer, error) {
	name, rest, ok := strings.Cut(item, "=")
	zone, address, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 || name == "" || zone == "" {
		return Peer{}, errors.Errorf("peer %q is not NAME=ZONE@IP:PORT", item)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return Peer{}, errors.Errorf("peer %q: %q is not IP:PORT", item, address)
	}
	return Peer{Entry: job.EntryID(name), Zone: job.Zone(zone), Address: address}, nil
}

// ParseNames parses a list of entry names: NAME,NAME,...
func ParseNames(list string) []job.EntryID {
	var names []job.EntryID
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, job.EntryID(name))
		}
	}
	return names
}

// Check returns an error for the first invalid setting it finds.
func (e *Entry) Check() error {
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return errors.Errorf("--name must have 1 to %d bytes", maxNameBytes)
	}
	if e.Zone == "" || len(e.Zone) > maxNameBytes {
		return errors.Errorf("--az must have 1 to %d bytes", maxNameBytes)
	}
	for flag, address := range map[string]string{"--caller-addr": e.CallerAddr, "--peer-addr": e.PeerAddr, "--operator-addr": e.OperatorAddr, "--metrics-addr": e.MetricsAddr} {
		if address == "" && flag == "--metrics-addr" {
			continue
		}
		if e.Discover && address == "" && flag == "--caller-addr" {
			continue // an entry that only votes does not serve callers
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("%s: %q is not IP:PORT", flag, address)
		}
	}
	if e.Processors < 0 || e.LinkMbps < 0 {
		return errors.Errorf("--processors %g, --link-mbps %g: neither may be negative", e.Processors, e.LinkMbps)
	}
	if e.MemoryBytes < 0 {
		return errors.New("--memory-mb must not be negative")
	}
	if err := e.checkPeers(); err != nil {
		return err
	}
	return e.checkSecrets()
}

func (e *Entry) checkPeers() error {
	known := map[job.EntryID]bool{e.Name: true}
	for _, p := range e.Peers {
		known[p.Entry] = true
		if p.Entry == e.Name && p.Zone != e.Zone {
			return errors.Errorf("--az says %q and --peers says %q for this entry", e.Zone, p.Zone)
		}
	}
	for _, v := range e.Voters {
		if !known[v] {
			return errors.Errorf("voter %q is not among --peers", v)
		}
	}
	if len(e.Voters)%2 == 0 && len(e.Voters) > 0 {
		return errors.Errorf("%d voters: an even number tolerates no more failures than one voter less", len(e.Voters))
	}
	if e.isVoter() && e.DataDir == "" {
		return errors.New("a voter needs --data")
	}
	return nil
}

func (e *Entry) isVoter() bool {
	for _, v := range e.Voters {
		if v == e.Name {
			return true
		}
	}
	return false
}

// checkSecrets rejects addresses that other machines can reach without a secret. A process
// that impersonates an entry could make a task start twice.
func (e *Entry) checkSecrets() error {
	if len(e.PeerSecret) == 0 && !e.TrustNetwork {
		addresses := []string{e.PeerAddr}
		for _, p := range e.Peers {
			addresses = append(addresses, p.Address)
		}
		for _, a := range addresses {
			if !isLoopback(a) {
				return errors.Errorf("%s is not loopback: set VANILLAGRADE_PEER_SECRET or VANILLAGRADE_PEER_SECRET_FILE", a)
			}
		}
	}
	if e.OperatorToken == "" && !isLoopback(e.OperatorAddr) {
		return errors.Errorf("%s is not loopback: set VANILLAGRADE_OPERATOR_TOKEN or VANILLAGRADE_OPERATOR_TOKEN_FILE", e.OperatorAddr)
	}
	return nil
}

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

// Others returns all peers except this entry.
func (e *Entry) Others() []Peer {
	var others []Peer
	for _, p := range e.Peers {
		if p.Entry != e.Name {
			others = append(others, p)
		}
	}
	return others
}

// Secret reads a secret from the environment variable name, or from the file whose path
// is in name_FILE. Secrets are never flags, because flags are visible in process lists.
func Secret(name string) (string, error) {
	if value := os.Getenv(name); value != "" {
		return value, nil
	}
	path := os.Getenv(name + "_FILE")
	if path == "" {
		return "", nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotatef(err, "%s_FILE", name)
	}
	return strings.TrimSpace(string(content)), nil
}

// Memory returns the memory that this process may use, in bytes, or zero if it is unknown.
func (e *Entry) Memory() int64 {
	if e.MemoryBytes > 0 {
		return e.MemoryBytes
	}
	return vmmemory.Total()
}
