package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports that an entry gives up and takes again, at a restart, must not be taken
// by anybody in between. The kernel gives ports from 32768 on to outgoing
// connections, so listeners of a fleet have theirs below.
const (
	lowestPort  = 20000
	portSpan    = 12000
	processStep = 211
	portTries   = 2000
)

var lastPort atomic.Uint32

// Listen opens a listener on loopback at a port that outgoing connections
// never take.
func Listen() (net.Listener, error) {
	start := uint32(os.Getpid()) * processStep
	var last error
	for range portTries {
		port := lowestPort + (start+lastPort.Add(1))%portSpan
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, errors.Annotate(last, "no free port")
}
