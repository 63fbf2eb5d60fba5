// Package relay is a stand-in for the network between two processes: a TCP relay
// that can delay, stall or silently drop the bytes of either direction. It can
// also blackhole the open connections while new ones work.
package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the treatment of the bytes in one direction.
type Mode string

// Modes of a direction.
const (
	// Pass forwards bytes.
	Pass Mode = "pass"
	// Stall buffers bytes and forwards them when the mode changes to Pass, like a network
	// that recovers before the connection times out at either end.
	Stall Mode = "stall"
	// Drop discards bytes. All later bytes of a connection that lost some are discarded
	// too, in that direction, since the reader couldn't interpret a stream with a gap.
	Drop Mode = "drop"
)

// Errors of this package.
var (
	// ErrUnknownMode is returned for an unknown mode.
	ErrUnknownMode = errors.New("relay stand-in: mode must be pass, stall or drop")
	// ErrNegativeDelay is returned for a negative delay.
	ErrNegativeDelay = errors.New("relay stand-in: delay must not be negative")
)

const (
	chunkSize   = 32 << 10 // bytes
	chunkQueue  = 64       // chunks in flight in one direction
	dialTimeout = 5 * time.Second
)

// State is the treatment of all connections by the relay.
type State struct {
	ToTarget Mode
	ToClient Mode
	// Delay is added in each direction.
	Delay time.Duration
	// Refuse closes new connections immediately.
	Refuse bool
}

func (s State) validate() error {
	for _, m := range []Mode{s.ToTarget, s.ToClient} {
		if m != Pass && m != Stall && m != Drop {
			return ErrUnknownMode
		}
	}
	if s.Delay < 0 {
		return ErrNegativeDelay
	}
	return nil
}

func (s State) mode(d direction) Mode {
	if d == toTarget {
		return s.ToTarget
	}
	return s.ToClient
}

type direction int

const (
	toTarget direction = iota
	toClient
)

// versionedState is a state with a channel that is closed when the state is replaced.
type versionedState struct {
	State
	changed chan struct{}
}

// Relay forwards connections to one target.
type Relay struct {
	target string
	state  atomic.Pointer[versionedState]

	mu    sync.Mutex // guards conns and the order of state changes
	conns map[*proxiedConn]struct{}
}

// New returns a relay to the target address that forwards everything.
func New(target string) *Relay {
	r := &Relay{target: target, conns: map[*proxiedConn]struct{}{}}
	r.state.Store(&versionedState{State: State{ToTarget: Pass, ToClient: Pass}, changed: make(chan struct{})})
	return r
}

// Set replaces the state; stalled bytes are treated according to the new one.
func (r *Relay) Set(s State) error {
	if err := s.validate(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Swap(&versionedState{State: s, changed: make(chan struct{})})
	close(old.changed)
	return nil
}

// State returns the current state.
func (r *Relay) State() State { return r.state.Load().State }

// Blackhole discards all further bytes of the currently open connections in the given
// directions; new connections work. It returns the number of open connections.
func (r *Relay) Blackhole(target, client bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if target {
			p.blackholed[toTarget].Store(true)
		}
		if client {
			p.blackholed[toClient].Store(true)
		}
	}
	return len(r.conns)
}

// Reset closes the currently open connections and returns their number.
func (r *Relay) Reset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		p.close()
	}
	return len(r.conns)
}

// OpenConnections returns the number of open connections.
func (r *Relay) OpenConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Serve accepts connections until ctx ends, then closes them all.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		client, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if r.State().Refuse {
			_ = client.Close()
			continue
		}
		handlers.Go(func() { r.connect(ctx, client) })
	}
}

func (r *Relay) connect(ctx context.Context, client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &proxiedConn{relay: r, client: client, target: target, cancel: cancel}
	r.add(p)
	defer r.remove(p)
	p.run(ctx)
}

func (r *Relay) add(p *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[p] = struct{}{}
}

func (r *Relay) remove(p *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}
