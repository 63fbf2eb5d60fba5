// Package httplimit bounds the memory and the descriptors that the clients of an HTTP server can occupy
// with requests that they do not complete.
//
// Each connection is charged for what it makes the process hold: a base charge, and while a request is
// read a charge for each byte and each line. A header line of three bytes takes more than a hundred once it
// is parsed, so a bound of the bytes alone would not do. When the charges exceed the limit, connections are
// closed, those that have kept a request incomplete the longest first. A connection whose request is
// complete is not closed: its answer may be on the way.
package httplimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Charges, in bytes. They include the garbage that accumulates until the next collection.
const (
	// baseCharge covers a connection's goroutine and its buffers for reading and writing.
	baseCharge = 24 << 10
	// byteCharge is for each byte of a request: it is held by the connection's buffer, and by copies that
	// the header's parser and the decoder of the body make.
	byteCharge = 4
	// lineCharge is for each line: the header's map holds a key, a slice and a value.
	lineCharge = 256
	// streamCharge is for each open HTTP/2 stream, whose header has at most maxStreamFields fields, and once
	// for a header that is being read.
	streamCharge = 8 << 10
)

const (
	// minIncomplete is the time in which a client sends a request that it has begun, and in which it reads
	// an answer. Idle connections are closed before one that has not taken longer.
	minIncomplete = 100 * time.Millisecond
	// writeTimeout is the time in which the client of an HTTP/1 connection has to make room for a part of
	// an answer.
	writeTimeout = 10 * time.Second
	// readTimeout, idleTimeout and maxHeaderBytes are the limits of a server that NewServer returns.
	readTimeout    = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// maxStreamFields is the limit of the fields in the header of an HTTP/2 stream: compressed, a field that
	// is repeated takes one byte.
	maxStreamFields = 64
	// readBuffer bounds what the kernel holds of requests that are not read, in bytes.
	readBuffer = 32 << 10
	// preface begins an HTTP/2 connection.
	preface = "PRI "
)

// Options configure a Limiter.
type Options struct {
	// Memory is the limit of the charges of all connections, in bytes.
	Memory int64
	// Connections is the limit of the connections.
	Connections int
	// ExcludeBodies is true if the handler bounds the memory of bodies itself: they are not charged.
	ExcludeBodies bool
	// Headers, if not nil, are the canonical names of the headers that the handler reads; all others are
	// dropped before it is called.
	Headers []string
	// Listener names the server in metrics.
	Listener string
	Scope    tally.Scope
}

// Limiter bounds the connections of one server. It is safe for concurrent use.
type Limiter struct {
	opt     Options
	closed  map[reason]tally.Counter
	charged tally.Gauge

	mu    sync.Mutex
	conns map[*conn]struct{}
	total int64
}

// reason is why a connection was closed.
type reason string

const (
	overMemory      reason = "memory"
	overConnections reason = "connections"
)

// New returns a limiter.
func New(o Options) *Limiter {
	l := &Limiter{opt: o, conns: map[*conn]struct{}{}, closed: map[reason]tally.Counter{}}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.Tagged(map[string]string{"listener": o.Listener})
	for _, r := range []reason{overMemory, overConnections} {
		l.closed[r] = scope.Tagged(map[string]string{"limit": string(r)}).Counter("connections_closed_over_limit_total")
	}
	l.charged = scope.Gauge("connections_charged_bytes")
	return l
}

// Apply makes a server observe the limits on the connections of the listener returned. The server's
// ConnContext, ConnState and Handler must be set before.
func (l *Limiter) Apply(s *http.Server, inner net.Listener) net.Listener {
	connContext, connState, handler := s.ConnContext, s.ConnState, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if x, ok := c.(*conn); ok {
			x.stateChanged(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		switch {
		case c == nil:
		case r.ProtoMajor == 1:
			c.headerRead(r)
		case countFields(r.Header) > maxStreamFields:
			http.Error(w, "too many header fields", http.StatusRequestHeaderFieldsTooLarge)
			return
		case !l.openStream(c):
			http.Error(w, "too many streams", http.StatusServiceUnavailable)
			return
		default:
			defer l.closeStream(c)
		}
		handler.ServeHTTP(w, r)
	})
	return &listener{Listener: inner, limiter: l}
}

// countFields returns the number of fields of a header.
func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// openStream charges a connection for a stream. It returns false if the stream must be refused.
func (l *Limiter) openStream(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setCharge(c, c.charge+streamCharge)
	if l.enforce(c) && l.total <= l.opt.Memory {
		return true
	}
	l.setCharge(c, c.charge-streamCharge)
	l.closed[overMemory].Inc(1)
	return false
}

// closeStream ends the charge for a stream.
func (l *Limiter) closeStream(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setCharge(c, c.charge-streamCharge)
}

// NewServer returns a server for small HTTP/1.1 requests.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

type connKey struct{}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (x *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := x.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		_ = tcp.SetReadBuffer(readBuffer)
		c := &conn{TCPConn: tcp, limiter: x.limiter, since: time.Now()}
		if x.limiter.add(c) {
			return c, nil
		}
	}
}

// phase is the progress of a connection's current request.
type phase int

const (
	// idle: no byte of a request has been read.
	idle phase = iota
	// reading: the request is incomplete.
	reading
	// serving: the request is complete and not answered, or an HTTP/2 stream is open.
	serving
)

// conn is a connection of the server. Its fields below the limiter are guarded by the limiter's lock.
type conn struct {
	*net.TCPConn
	limiter *Limiter

	phase phase
	// since is when the phase began. The first request of a connection begins when it is accepted.
	since time.Time
	// answered is true once the connection has been idle after a request.
	answered bool
	// inBody is true while the body of a request is read.
	inBody bool
	http2  bool
	// charge is what the connection is charged in total.
	charge int64
	gone   bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.limiter.received(c, p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.isHTTP2() {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.remove(c)
	return c.TCPConn.Close()
}

func (c *conn) isHTTP2() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.http2
}

// abort closes the connection. One that has had no answer is reset, which frees its buffers at once; a reset
// would also take an answer from a client that has not read it yet.
func (c *conn) abort() {
	if !c.answered {
		_ = c.SetLinger(0)
	}
	_ = c.TCPConn.Close()
}

// stateChanged records that the connection has become idle, or with HTTP/2 that a stream is open.
func (c *conn) stateChanged(s http.ConnState) {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s == http.StateIdle:
		c.phase, c.since, c.answered, c.inBody = idle, time.Now(), true, false
		if !c.http2 {
			l.setCharge(c, baseCharge)
		}
	case s == http.StateActive && c.http2:
		c.phase, c.since = serving, time.Now()
	}
}

// headerRead is called with the request before its handler. From then on the header is charged for what is
// kept of it, and the request is complete once its body has been read.
func (c *conn) headerRead(r *http.Request) {
	l := c.limiter
	l.mu.Lock()
	if c.phase == idle {
		// The request was read together with the previous one.
		c.phase, c.since = reading, time.Now()
	}
	c.inBody = true
	l.mu.Unlock()
	if l.opt.Headers != nil {
		kept := http.Header{}
		for _, name := range l.opt.Headers {
			if v := r.Header.Get(name); v != "" {
				kept[name] = []string{v}
			}
		}
		r.Header = kept
		l.mu.Lock()
		l.setCharge(c, baseCharge)
		l.mu.Unlock()
	}
	if r.Body == nil || r.Body == http.NoBody {
		c.bodyRead()
		return
	}
	r.Body = &body{ReadCloser: r.Body, conn: c}
}

// bodyRead records that the request is complete.
func (c *conn) bodyRead() {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != reading {
		return
	}
	c.phase, c.since = serving, time.Now()
	if l.opt.Headers != nil {
		l.setCharge(c, baseCharge)
	}
}

// body tells its connection once it has been read to its end.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.bodyRead()
	}
	return n, err
}

// add adds a connection, and closes others to make room for it. It returns false if the connection was
// refused.
func (l *Limiter) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.setCharge(c, baseCharge)
	return l.enforce(c)
}

// received charges a connection for bytes of a request. It returns false if the connection was closed.
func (l *Limiter) received(c *conn, p []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.gone {
		return false
	}
	// Of an HTTP/2 connection only an open stream tells that it is more than idle: it also reads pings.
	if c.phase == idle && !(c.http2 && c.answered) {
		if !c.answered && bytes.HasPrefix(p, []byte(preface)) {
			c.http2 = true
			l.setCharge(c, baseCharge+streamCharge)
		}
		if c.answered {
			c.since = time.Now()
		}
		c.phase = reading
	}
	if c.http2 || c.inBody && l.opt.ExcludeBodies {
		return l.enforce(c)
	}
	l.setCharge(c, c.charge+byteCharge*int64(len(p))+lineCharge*int64(bytes.Count(p, []byte{'\n'})))
	return l.enforce(c)
}

// remove removes a connection that is closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}

// forget removes a connection. l.mu is held.
func (l *Limiter) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	delete(l.conns, c)
	l.total -= c.charge
	l.charged.Update(float64(l.total))
}

// setCharge sets what a connection is charged. l.mu is held.
func (l *Limiter) setCharge(c *conn, charge int64) {
	if c.gone {
		return
	}
	l.total += charge - c.charge
	c.charge = charge
	l.charged.Update(float64(l.total))
}

// enforce closes connections until the limits are met, or until only those are left whose requests are being
// served. It returns false if the connection given was closed. l.mu is held.
func (l *Limiter) enforce(c *conn) bool {
	for {
		var why reason
		switch {
		case len(l.conns) > l.opt.Connections:
			why = overConnections
		case l.total > l.opt.Memory:
			why = overMemory
		default:
			return !c.gone
		}
		v := l.victim(time.Now())
		if v == nil {
			return !c.gone
		}
		l.closed[why].Inc(1)
		l.forget(v)
		v.abort()
	}
}

// victim returns the connection to be closed next, or nil if all are being served. l.mu is held.
func (l *Limiter) victim(now time.Time) *conn {
	var oldest, oldestIdle *conn
	for c := range l.conns {
		switch {
		case c.phase == serving:
		case c.phase == idle && c.answered:
			// net/http reports an HTTP/2 connection as idle before it has sent the end of its last answer.
			if now.Sub(c.since) < minIncomplete {
				continue
			}
			if oldestIdle == nil || c.since.Before(oldestIdle.since) {
				oldestIdle = c
			}
		case oldest == nil || c.since.Before(oldest.since):
			oldest = c
		}
	}
	if oldest == nil || oldestIdle != nil && now.Sub(oldest.since) < minIncomplete {
		return oldestIdle
	}
	return oldest
}
