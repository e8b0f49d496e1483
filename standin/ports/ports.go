// Package ports allocates loopback addresses for the processes that tests and
// development tools start.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// The allocated ports lie below the kernel's ephemeral port range. The kernel could
// assign an ephemeral port to an outgoing connection between the check here and
// the start of the process that listens on the port.
const (
	firstPort = 10000
	lastPort  = 32000
	// maxTries is the maximum number of ports that one call tries.
	maxTries = 1000
)

// reservations maps each port that this process has allocated to the socket that
// reserves it. The reference keeps the socket open.
var reservations sync.Map

// Free returns n loopback addresses on whose ports no process listens. No other
// call of Free on this machine returns one of them until this process exits. The
// reservation covers the time in which the process that uses a port does not
// listen on it: before it has started and after it was killed.
func Free(n int) ([]string, error) { return freeBetween(firstPort, lastPort, n) }

// freeBetween is Free for ports from first to last-1.
func freeBetween(first, last, n int) ([]string, error) {
	var addresses []string
	for range maxTries {
		port := first + rand.IntN(last-first)
		if !reserve(port) {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.Newf("could not allocate %d free ports between %d and %d", n, first, last)
}

// reserve reserves the port on this machine by binding an abstract Unix socket,
// which the kernel releases when this process exits. It returns false if the port
// is already reserved.
func reserve(port int) bool {
	socket, err := net.Listen("unix", fmt.Sprintf("@mulberrysill-port-%d", port))
	if err != nil {
		return false
	}
	reservations.Store(port, socket)
	return true
}
