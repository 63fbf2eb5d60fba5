package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
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

// The processes' ports are below the kernel's ephemeral port range. The kernel may assign
// an ephemeral port to another program that listens on all addresses at any moment, even
// between the check that the port is free and the start of the process that is to use it.
const (
	firstPort = 10_000
	portRange = 20_000
	// portTries is the maximum number of ports tried in the search for a free one.
	portTries = 100
)

// nextPort counts the ports that have been tried.
var nextPort atomic.Uint32

// FreeAddresses sets each of the strings to an address on the host with a free port.
// It keeps all ports bound until the last one is chosen, so that they differ.
func FreeAddresses(host string, addresses ...*string) error {
	for _, address := range addresses {
		l, err := listenFree(host)
		if err != nil {
			return err
		}
		defer l.Close()
		*address = l.Addr().String()
	}
	return nil
}

func listenFree(host string) (net.Listener, error) {
	var err error
	for range portTries {
		port := firstPort + (uint32(os.Getpid())+nextPort.Add(1))%portRange
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, port)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("harness: no free port: %w", err)
}
