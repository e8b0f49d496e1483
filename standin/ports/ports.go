// Package ports finds loopback addresses for the processes that tests and
// development tools start.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports below the range from which the kernel takes the ports of outgoing
// connections. A port from that range may be taken between the check here and
// the start of the process that is to listen on it.
const (
	first = 10000
	last  = 32000
	// maxTries bounds the ports that are tried for one call.
	maxTries = 1000
)

// given holds the addresses that this process has given out: a process that is
// starting does not listen on its ports yet.
var given sync.Map

// Free returns n loopback addresses whose ports were free just now and were not
// given out before by this process.
func Free(n int) ([]string, error) {
	var list []string
	for range maxTries {
		address := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first))
		if _, taken := given.LoadOrStore(address, true); taken {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer l.Close()
		if list = append(list, address); len(list) == n {
			return list, nil
		}
	}
	return nil, errors.Newf("no %d free ports between %d and %d", n, first, last)
}
