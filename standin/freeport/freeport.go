// Package freeport opens listeners on ports that stay free while their process is restarted.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the kernel's ephemeral port range. The kernel may assign an ephemeral port to
// another program that listens on all addresses at any moment, also while a process that used the
// port is restarted.
const (
	firstPort = 10_000
	portRange = 20_000
	// portTries is the maximum number of ports tried in the search for a free one.
	portTries = 100
)

// nextPort counts the ports that have been tried.
var nextPort atomic.Uint32

// Listen listens on a free port of the host. It returns an error if portTries ports in a row are in
// use.
func Listen(host string) (net.Listener, error) {
	var err error
	for range portTries {
		port := firstPort + (uint32(os.Getpid())+nextPort.Add(1))%portRange
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, port)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("freeport: no free port: %w", err)
}
