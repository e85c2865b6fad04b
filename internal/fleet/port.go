package fleet

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// An entry closes its ports and reopens them at a restart; nothing else may take
// them in between. The kernel assigns ports from 32768 up to outgoing
// connections, so the listeners of a fleet use lower ports.
const (
	lowestPort  = 20000
	portSpan    = 12000
	processStep = 211
	portTries   = 2000
)

var lastPort atomic.Uint32

// Listen opens a listener on loopback at a port outside the range for outgoing
// connections.
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
