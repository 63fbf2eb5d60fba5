package node

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"almondstand.dev/telemetry"
)

// listeners holds the listening sockets of a node.
type listeners struct {
	callers   net.Listener
	internal  net.Listener
	operators net.Listener
}

// open opens all sockets. If one fails, it closes those already open.
func (l *listeners) open(s ListenSettings) error {
	sockets := []*net.Listener{&l.callers, &l.internal, &l.operators}
	for i, listener := range s.all() {
		socket, err := net.Listen("tcp", listener.Address.String())
		if err != nil {
			l.close()
			return err
		}
		*sockets[i] = socket
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.internal, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Limits of the HTTP servers for other processes and for operators.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	maxStreams        = 1000
	// Connections of operators, with the memory that they and the headers of requests may occupy.
	maxOperatorConns = 256
	maxOperatorBytes = 16 << 20
	// sendPingTimeout is long because each guard keeps a connection that is idle
	// between its announcements: with hundreds of guards, shorter pings would cost
	// more messages than the announcements. No call depends on the server's ping,
	// since clients send pings too, and sooner.
	sendPingTimeout = 30 * time.Second
	pingTimeout     = 2 * time.Second
)

// newServer returns an HTTP server for guards, other entries and operators. A
// connection can fail without an error at either end; the HTTP/2 ping detects that
// and ends the calls on it.
func newServer(h http.Handler, logger *slog.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		ConnContext:       telemetry.ConnContext,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      sendPingTimeout,
			PingTimeout:          pingTimeout,
		},
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}
