package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"almondstand.dev/wire/wirev1/wirev1connect"
)

const (
	dialTimeout = time.Second
	// A connection without any frame for pingAfter is pinged, and closed when no answer
	// comes within pingTimeout: a network device on the path may have dropped the
	// connection's state, and every call on it would hang.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	idleTimeout = time.Minute
	// maxMessage bounds one message, in bytes: a forwarded job or its response.
	maxMessage = 64 << 20
	authHeader = "Authorization"
)

// pool holds a client for each address.
type pool struct {
	secret string
	shared *http.Client
	// perCall opens a new connection for each call: behind a load balancer each one may
	// reach another entry.
	perCall *http.Client

	mu      sync.Mutex
	clients map[string]wirev1connect.PeerServiceClient
}

func newPool(o Options) *pool {
	perCall := newTransport()
	perCall.DisableKeepAlives = true
	return &pool{
		secret:  o.Secret,
		shared:  &http.Client{Transport: newTransport()},
		perCall: &http.Client{Transport: perCall},
		clients: map[string]wirev1connect.PeerServiceClient{},
	}
}

func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func (p *pool) client(address string) wirev1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, known := p.clients[address]
	if !known {
		c = p.newClient(p.shared, address)
		p.clients[address] = c
	}
	return c
}

func (p *pool) clientPerCall(address string) wirev1connect.PeerServiceClient {
	return p.newClient(p.perCall, address)
}

// clientWithLimit returns a client that reads responses of at most the given size.
func (p *pool) clientWithLimit(address string, bytes int) wirev1connect.PeerServiceClient {
	return p.newClientWithLimit(p.shared, address, bytes)
}

func (p *pool) newClient(h *http.Client, address string) wirev1connect.PeerServiceClient {
	return p.newClientWithLimit(h, address, maxMessage)
}

func (p *pool) newClientWithLimit(h *http.Client, address string, bytes int) wirev1connect.PeerServiceClient {
	return wirev1connect.NewPeerServiceClient(h, "http://"+address,
		connect.WithReadMaxBytes(bytes),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithInterceptors(sendSecret(p.secret)))
}

// prune drops the clients of addresses that no entry uses any more.
func (p *pool) prune(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.clients {
		if !addresses[a] {
			delete(p.clients, a)
		}
	}
}

func (p *pool) close() {
	p.shared.CloseIdleConnections()
	p.perCall.CloseIdleConnections()
}

func sendSecret(secret string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if secret != "" {
				req.Header().Set(authHeader, "Bearer "+secret)
			}
			return next(ctx, req)
		}
	}
}

var errNoSecret = errors.New("cluster secret missing or wrong")

// checkSecret compares digests, which have equal lengths, in constant time, so that the
// duration of the check reveals nothing about the secret.
func checkSecret(secret string, refused func(context.Context, connect.AnyRequest)) connect.UnaryInterceptorFunc {
	want := sha256.Sum256([]byte("Bearer " + secret))
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			got := sha256.Sum256([]byte(req.Header().Get(authHeader)))
			if secret != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				refused(ctx, req)
				return nil, connect.NewError(connect.CodeUnauthenticated, errNoSecret)
			}
			return next(ctx, req)
		}
	}
}
