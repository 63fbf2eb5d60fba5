package api

import (
	"log/slog"
	"net/http"
	"time"
)

// Limits of the HTTP server for callers. Connections that send slowly or stay
// idle are closed, so that they cannot hold memory indefinitely.
const (
	ReadHeaderTimeout = 5 * time.Second
	ReadTimeout       = 15 * time.Second
	IdleTimeout       = 75 * time.Second
	MaxHeaderBytes    = 16 << 10

	maxStreams      = 250
	sendPingTimeout = 10 * time.Second
	pingTimeout     = 5 * time.Second
)

// NewHTTPServer returns an HTTP server for callers that accepts HTTP/1.1 and
// unencrypted HTTP/2 (h2c).
func NewHTTPServer(handler http.Handler, logger *slog.Logger) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ReadHeaderTimeout,
		ReadTimeout:       ReadTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			// Detects a dead connection that was never closed, whose calls would
			// otherwise keep waiting.
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
}
