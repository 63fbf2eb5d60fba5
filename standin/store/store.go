package store

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Store is the stand-in: an http.Handler and its fault switches.
type Store struct {
	memory     *memory
	faults     faults
	mux        *http.ServeMux
	callCounts callCounts
	// mu guards watchBreaks.
	mu          sync.Mutex
	watchBreaks watchBreaks
}

// watchBreaks are channels that are closed and replaced to disrupt all watches that are
// open at that time.
type watchBreaks struct {
	// Closing closed ends the open watches; closing silenced keeps them open, but nothing
	// is sent on them any more.
	closed   chan struct{}
	silenced chan struct{}
}

// New returns an empty store that measures leases by the given clock.
func New(clock func() time.Time) *Store {
	s := &Store{
		memory:      newMemory(clock),
		mux:         http.NewServeMux(),
		watchBreaks: watchBreaks{closed: make(chan struct{}), silenced: make(chan struct{})},
	}
	s.faults.progress = DefaultProgressInterval
	s.route()
	s.routeSwitches()
	return s
}

// DefaultProgressInterval is the interval between progress notifications of a watch.
const DefaultProgressInterval = time.Second

// expiryPeriod is the interval between checks for expired leases.
const expiryPeriod = 20 * time.Millisecond

// Run revokes leases when they expire, until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	ticker := time.NewTicker(expiryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.RevokeExpiredLeases()
		}
	}
}

// RevokeExpiredLeases revokes the leases that have expired by the clock.
func (s *Store) RevokeExpiredLeases() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.expire()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Server is a Store that listens on the loopback interface.
type Server struct {
	*Store
	// Address is the IP and port it listens on.
	Address string
	server  *http.Server
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// Serve starts a store on a port of 127.0.0.1 that the kernel chooses.
func Serve() (*Server, error) { return ServeOn("127.0.0.1:0") }

// ServeOn starts a store on the address.
func ServeOn(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{Store: New(time.Now), Address: listener.Addr().String(), stop: stop}
	s.server = &http.Server{
		Handler:           s.Store,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.done.Go(func() { _ = s.server.Serve(listener) })
	s.done.Go(func() { _ = s.Run(ctx) })
	return s, nil
}

// Close stops the server and closes all its connections.
func (s *Server) Close() {
	s.stop()
	_ = s.server.Close()
	s.done.Wait()
}
