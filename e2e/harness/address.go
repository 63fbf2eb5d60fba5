package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// hosts counts the loopback hosts handed out, so that every process has an IP
// of its own: a port the kernel chose there stays free for a restart, since
// nothing else binds on that IP.
var hosts atomic.Uint32

// NewHost returns a loopback IP that no other process of this run uses.
func NewHost() string {
	n := hosts.Add(1)
	// Two runs beside each other must not choose the same: some ports are fixed.
	net := 20 + (uint32(os.Getpid())+n/62500)%200
	return fmt.Sprintf("127.%d.%d.%d", net, n/250%250+1, n%250+1)
}

// FreeAddresses returns addresses on the host with ports that the kernel chose.
// All are held until the last is chosen: else the kernel may choose one twice.
func FreeAddresses(host string, into ...*string) error {
	for _, to := range into {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return fmt.Errorf("harness: address: %w", err)
		}
		defer l.Close()
		*to = l.Addr().String()
	}
	return nil
}
