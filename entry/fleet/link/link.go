// Package link manages the connections from an entry to one guard.
//
// A Link is disposable: if its connection stops responding, the link is closed, which
// immediately fails every call on it, and a new link replaces it.
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/wire/wirev1/wirev1connect"
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultPingAfter   = 5 * time.Second
	defaultPingTimeout = time.Second
	defaultIdle        = 5 * time.Minute
	defaultMaxMessage  = 64 << 20
)

// Options configures a Link. Zero values select the defaults.
type Options struct {
	// Address is the IP and port of the guard.
	Address string
	// Secret is the cluster secret; empty if the cluster uses none.
	Secret string
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// PingAfter is how long a connection may receive no frame before the transport
	// sends an HTTP/2 ping, and PingTimeout is how long that may go unanswered before
	// the connection is closed. Without these pings, calls would hang forever on a
	// connection whose state a network device has dropped.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open.
	IdleTimeout time.Duration
	// MaxMessage is the maximum size of a reply in bytes.
	MaxMessage int
}

func (o Options) withDefaults() Options {
	o.DialTimeout = orDuration(o.DialTimeout, defaultDialTimeout)
	o.PingAfter = orDuration(o.PingAfter, defaultPingAfter)
	o.PingTimeout = orDuration(o.PingTimeout, defaultPingTimeout)
	o.IdleTimeout = orDuration(o.IdleTimeout, defaultIdle)
	if o.MaxMessage == 0 {
		o.MaxMessage = defaultMaxMessage
	}
	return o
}

func orDuration(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Link is a client of one guard with its own connections.
type Link struct {
	wirev1connect.GuardServiceClient

	transport *http.Transport

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New returns a link. It dials on the first call.
func New(o Options) *Link {
	o = o.withDefaults()
	l := &Link{conns: map[net.Conn]struct{}{}}
	l.transport = newTransport(o, l.trackConn)
	client := &atMostOnceClient{transport: l.transport}
	if o.Secret != "" {
		client.authorization = "Bearer " + o.Secret
	}
	l.GuardServiceClient = wirev1connect.NewGuardServiceClient(client, "http://"+o.Address,
		connect.WithReadMaxBytes(o.MaxMessage),
		// Payloads are opaque and the network is local: compression costs more CPU time
		// than it saves.
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	return l
}

func newTransport(o Options, track func(net.Conn) (net.Conn, error)) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return track(c)
		},
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    o.IdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: o.PingAfter,
			PingTimeout:     o.PingTimeout,
		},
	}
}

// CloseIdle closes the connections that carry no call. The next call dials again.
func (l *Link) CloseIdle() { l.transport.CloseIdleConnections() }

// Close fails every call on the link and closes its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	open := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	l.transport.CloseIdleConnections()
}

func (l *Link) trackConn(c net.Conn) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t := &trackedConn{Conn: c, link: l}
	l.conns[t] = struct{}{}
	return t, nil
}

func (l *Link) untrack(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// trackedConn is a connection that its link tracks until it is closed.
type trackedConn struct {
	net.Conn
	link *Link
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.link.untrack(c)
	return c.Conn.Close()
}
