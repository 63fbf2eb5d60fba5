// Package fleetwire converts between the messages of entries and guards and the types of
// the scheduling packages, and provides the transport of both ends.
package fleetwire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"

	"almondstand.dev/dispatch/work"
	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// Timeouts of a connection between two processes.
const (
	// DialTimeout is many times the network latency between data centres of one region,
	// which is some milliseconds.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose other end does not acknowledge data:
	// otherwise the kernel would retransmit for a quarter of an hour.
	unackedTimeout = 2 * time.Second
)

// Transport is an HTTP/2 transport without TLS. Each session uses its own, so that an
// unresponsive connection is closed together with its session.
type Transport struct {
	*http.Transport

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// NewTransport returns a transport without connections. dialTimeout is the timeout for
// opening one.
func NewTransport(dialTimeout time.Duration) *Transport {
	t := &Transport{}
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conn, t.track(conn)
		},
		Protocols:          protocols,
		DisableCompression: true,
	}
	return t
}

func (t *Transport) track(conn net.Conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return net.ErrClosed
	}
	t.conns = append(t.conns, conn)
	return nil
}

// Close closes all connections and thereby aborts all calls. Cancelling a stream's
// context alone does not unblock Receive: the library checks the context only between two
// writes of the request body, and an idle stream has none.
func (t *Transport) Close() {
	t.mu.Lock()
	conns := t.conns
	t.conns, t.closed = nil, true
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Limits of a server. A guard has one stream on a connection, another entry a few.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 4 << 10
	maxStreams        = 16
	maxFrameBytes     = 16 << 10
	// maxUnreadBytes bounds what a connection's peer may send before it is read.
	maxUnreadBytes = 256 << 10
	// maxMessageBytes is above the largest message to an entry: the jobs that another one hands over at once,
	// at most 128 with a specification of 4,000 bytes and 100 steps each.
	maxMessageBytes = 2 << 20
)

// NewServer returns a server for HTTP/2 without TLS and for HTTP/1.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReadFrameSize:              maxFrameBytes,
			MaxReceiveBufferPerConnection: maxUnreadBytes,
			MaxReceiveBufferPerStream:     maxUnreadBytes,
		},
	}
}

// Listen opens a listener. Its connections are closed if the other end does not
// acknowledge data for unackedTimeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

// gzipName is the compression that connect enables by default.
const gzipName = "gzip"

// NewHandler returns the handler of FleetService with compression disabled: most messages
// have about 100 bytes, which gzip makes longer, and the gzip writers used a fifth of an
// entry's CPU time and 0.8 MB each (six entries, 40 guards, 500 jobs a second: 1.24 to
// 1.45 ms per job with gzip, 1.04 to 1.15 ms without).
func NewHandler(service wirev1connect.FleetServiceHandler) (path string, handler http.Handler) {
	return wirev1connect.NewFleetServiceHandler(service, connect.WithCompression(gzipName, nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
}

// NewClient returns a client of the entry at an address.
func NewClient(client *http.Client, address string) wirev1connect.FleetServiceClient {
	return wirev1connect.NewFleetServiceClient(client, "http://"+address, connect.WithAcceptCompression(gzipName, nil, nil))
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// ToAmounts converts resource amounts to the wire type.
func ToAmounts(a work.Amounts) *wirev1.Amounts {
	return &wirev1.Amounts{CpuMilli: a.CPUMilli, MemoryMb: a.MemoryMB, Gpus: a.GPUs}
}

// FromAmounts converts resource amounts from the wire type; nil means zero.
func FromAmounts(a *wirev1.Amounts) work.Amounts {
	return work.Amounts{CPUMilli: a.GetCpuMilli(), MemoryMB: a.GetMemoryMb(), GPUs: a.GetGpus()}
}

// ToTaskName converts a task ID to the wire type.
func ToTaskName(t work.TaskID) *wirev1.TaskName {
	return &wirev1.TaskName{Job: t.Job, Step: uint32(t.Step), Index: uint32(t.Index)}
}

// FromTaskName converts a task name from the wire to a task ID.
func FromTaskName(t *wirev1.TaskName) work.TaskID {
	return work.TaskID{Job: t.GetJob(), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

// ToRunID converts a task name and an attempt from the wire to a run ID.
func ToRunID(t *wirev1.TaskName, attempt uint32) work.RunID {
	return work.RunID{Task: FromTaskName(t), Attempt: int(attempt)}
}
