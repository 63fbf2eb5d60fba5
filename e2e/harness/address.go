package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// hosts counts the loopback hosts handed out, so that every process has an IP
// of its own: a port there stays free for a restart, since nothing else binds on
// that IP.
var hosts atomic.Uint32

// NewHost returns a loopback IP that no other process of this run uses.
func NewHost() string {
	n := hosts.Add(1)
	// Two runs beside each other must not choose the same: some ports are fixed.
	net := 20 + (uint32(os.Getpid())+n/62500)%200
	return fmt.Sprintf("127.%d.%d.%d", net, n/250%250+1, n%250+1)
}

// Ports of the processes are below those that the kernel chooses by itself: another program
// that listens on all addresses may be given one of those at any moment, also one that was
// free here until its process starts.
const (
	firstPort = 10_000
	ports     = 20_000
	// portTries bounds the search for a free one.
	portTries = 100
)

// nextPort counts the ports that were tried.
var nextPort atomic.Uint32

// FreeAddresses returns addresses on the host with ports that are free.
// All are held until the last is chosen.
func FreeAddresses(host string, into ...*string) error {
	for _, to := range into {
		l, err := listenFree(host)
		if err != nil {
			return err
		}
		defer l.Close()
		*to = l.Addr().String()
	}
	return nil
}

func listenFree(host string) (net.Listener, error) {
	var err error
	for range portTries {
		port := firstPort + (uint32(os.Getpid())+nextPort.Add(1))%ports
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, port)); err == nil {
			return l, nil
		}
	}
	return nil, fmt.Errorf("harness: address: %w", err)
}
