package harness

import (
	"fmt"
	"os"
	"sync/atomic"

	"almondstand.dev/standin/freeport"
)

// allocatedHosts counts the loopback IPs that NewHost returned. Every process has an
// IP of its own, so that its ports stay free for a restart: nothing else binds to
// that IP.
var allocatedHosts atomic.Uint32

// NewHost returns a loopback IP that no other process of this test run uses.
func NewHost() string {
	n := allocatedHosts.Add(1)
	// Concurrent test runs must not choose the same IP, since some ports are fixed.
	secondOctet := 20 + (uint32(os.Getpid())+n/62500)%200
	return fmt.Sprintf("127.%d.%d.%d", secondOctet, n/250%250+1, n%250+1)
}

// FreeAddresses sets each of the strings to an address on the host with a free port.
// It keeps all ports bound until the last one is chosen, so that they differ.
func FreeAddresses(host string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := freeport.Listen(host)
		if err != nil {
			return fmt.Errorf("harness: %w", err)
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	return nil
}
