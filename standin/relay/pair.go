package relay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// proxiedConn is one relayed connection: the client's connection and the one to the target.
type proxiedConn struct {
	relay          *Relay
	client, target net.Conn
	blackholed     [2]atomic.Bool // by direction; all further bytes are discarded
	closedSenders  atomic.Int32   // number of directions whose sender has closed
	cancel         context.CancelFunc
}

// chunk is the data of one read; nil data marks the end of the stream.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// run relays both directions until both sides have closed.
func (p *proxiedConn) run(ctx context.Context) {
	defer p.close()
	stop := context.AfterFunc(ctx, p.closeConns)
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(ctx, toTarget, p.client, p.target) })
	directions.Go(func() { p.forward(ctx, toClient, p.target, p.client) })
	directions.Wait()
}

func (p *proxiedConn) close() {
	p.cancel()
	p.closeConns()
}

func (p *proxiedConn) closeConns() {
	_ = p.client.Close()
	_ = p.target.Close()
}

// forward relays the bytes of one direction. Reading and writing are separate goroutines,
// so that the delay adds latency to each byte but doesn't limit the bytes in flight.
func (p *proxiedConn) forward(ctx context.Context, d direction, from, to net.Conn) {
	queue := make(chan chunk, chunkQueue)
	go p.read(ctx, from, queue)
	for c := range queue {
		if !p.waitUntil(ctx, c.deliverAt) {
			return
		}
		forwarding := p.shouldForward(ctx, d)
		if c.data == nil {
			p.endStream(forwarding, to)
			if forwarding {
				return
			}
			continue
		}
		if !forwarding {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			p.close()
			return
		}
	}
}

// endStream handles the end of the stream in one direction. It is not forwarded in a
// blackholed direction: there the other side doesn't learn of it, as when the network
// between two peers is lost. The connection is freed when both sides have closed.
func (p *proxiedConn) endStream(forwarding bool, to net.Conn) {
	if forwarding {
		closeWrite(to)
	}
	if p.closedSenders.Add(1) == 2 {
		p.close()
	}
}

func (p *proxiedConn) read(ctx context.Context, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		deliverAt := time.Now().Add(p.relay.State().Delay)
		if n > 0 && !send(ctx, queue, chunk{data: bytes.Clone(buf[:n]), deliverAt: deliverAt}) {
			return
		}
		if err != nil {
			send(ctx, queue, chunk{deliverAt: deliverAt})
			<-ctx.Done() // a blackholed direction stays open
			return
		}
	}
}

func send(ctx context.Context, queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// timerResolution is the resolution of the Go runtime's timers on an idle system: a
// shorter sleep takes this long.
const timerResolution = 2 * time.Millisecond

// waitUntil waits until a chunk has to be delivered. The last part is a nanosleep system
// call, which is accurate to some tens of microseconds: with the runtime's timers alone a
// delay of 0.5 ms would take more than 1 ms.
func (p *proxiedConn) waitUntil(ctx context.Context, deliverAt time.Time) bool {
	if !sleep(ctx, time.Until(deliverAt)-timerResolution) {
		return false
	}
	for remaining := time.Until(deliverAt); remaining > 0; remaining = time.Until(deliverAt) {
		t := syscall.NsecToTimespec(remaining.Nanoseconds())
		_ = syscall.Nanosleep(&t, nil)
	}
	return ctx.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// shouldForward waits while the direction is stalled. It returns false if the bytes must
// be discarded or ctx has ended.
func (p *proxiedConn) shouldForward(ctx context.Context, d direction) bool {
	for {
		s := p.relay.state.Load()
		if p.blackholed[d].Load() {
			return false
		}
		switch s.mode(d) {
		case Pass:
			return true
		case Drop:
			p.blackholed[d].Store(true)
			return false
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return false
		}
	}
}

// closeWrite forwards the end of a stream and keeps the other direction open.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
