package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// HTTP/2 frame types, flags and codes that refusingServer needs.
const (
	frameHeader   = 9
	frameData     = 0x0
	frameReset    = 0x3
	frameSettings = 0x4
	frameGoAway   = 0x7
	flagEndStream = 0x1
	refusedStream = 0x7
	noError       = 0x0
)

const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// refusingServer reads each complete message and then claims that it did not process
// it, as a faulty or malicious peer does. It counts the messages.
type refusingServer struct {
	listener net.Listener
	messages atomic.Int64
	refuse   func(c net.Conn, stream uint32)

	mu    sync.Mutex
	conns []net.Conn
}

func newRefusingServer(t *testing.T, refuse func(net.Conn, uint32)) *refusingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &refusingServer{listener: listener, refuse: refuse}
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *refusingServer) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *refusingServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *refusingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := io.CopyN(io.Discard, c, int64(len(preface))); err != nil {
		return
	}
	writeFrame(c, frameSettings, 0, nil)
	for {
		head := make([]byte, frameHeader)
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		length := int64(head[0])<<16 | int64(head[1])<<8 | int64(head[2])
		if _, err := io.CopyN(io.Discard, c, length); err != nil {
			return
		}
		if head[3] == frameData && head[4]&flagEndStream != 0 {
			s.messages.Add(1)
			s.refuse(c, binary.BigEndian.Uint32(head[5:]))
		}
	}
}

func writeFrame(c net.Conn, kind byte, stream uint32, payload []byte) {
	head := []byte{0, 0, byte(len(payload)), kind, 0, 0, 0, 0, 0}
	binary.BigEndian.PutUint32(head[5:], stream)
	_, _ = c.Write(append(head, payload...))
}

func resetStream(c net.Conn, stream uint32) {
	writeFrame(c, frameReset, stream, binary.BigEndian.AppendUint32(nil, refusedStream))
}

func goAway(c net.Conn, _ uint32) {
	payload := binary.BigEndian.AppendUint32(nil, 0) // last stream processed: none
	writeFrame(c, frameGoAway, 0, binary.BigEndian.AppendUint32(payload, noError))
	_ = c.Close()
}

var refusals = map[string]func(net.Conn, uint32){"REFUSED_STREAM": resetStream, "GOAWAY": goAway}

// A peer reads the complete message and then refuses the stream. net/http resends the
// request on its own, so the peer gets the Start several times and the caller sees one
// error. This shows that the fault occurs with a plain connect client.
func TestPlainClientResends(t *testing.T) {
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			s := newRefusingServer(t, refuse)
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			plain := wirev1connect.NewGuardServiceClient(&http.Client{Transport: transport}, "http://"+s.listener.Addr().String())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				for s.messages.Load() < 2 && ctx.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				cancel()
			}()

			_, err := plain.Start(ctx, connect.NewRequest(&wirev1.StartRequest{Seq: 1}))

			assert.Assert(t, err != nil)
			assert.Assert(t, s.messages.Load() >= 2, "sent %d times", s.messages.Load())
		})
	}
}

// With the same peer and a Link, the message is sent once, the error is returned
// immediately, and the message is not reported as unsent.
func TestLinkSendsAtMostOnce(t *testing.T) {
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			s := newRefusingServer(t, refuse)
			l := New(Options{Address: s.listener.Addr().String()})
			defer l.Close()
			var out SendTracker

			_, err := l.Start(WithSendTracker(context.Background(), &out), connect.NewRequest(&wirev1.StartRequest{Seq: 1}))

			assert.Assert(t, err != nil)
			assert.Equal(t, s.messages.Load(), int64(1))
			assert.Assert(t, !out.AbortIfUnsent())
		})
	}
}

// Nothing listens at the address: the message certainly was not sent.
func TestSealProvesUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	l := New(Options{Address: address})
	defer l.Close()
	var out SendTracker

	_, err = l.Start(WithSendTracker(context.Background(), &out), connect.NewRequest(&wirev1.StartRequest{Seq: 1}))

	assert.Assert(t, err != nil)
	assert.Assert(t, out.AbortIfUnsent())
}

// The call was aborted while the transport still held the request: what the transport
// reads from the body afterwards must not leave the process.
func TestSealedBodyIsNotSent(t *testing.T) {
	var out SendTracker
	body := &trackedBody{ReadCloser: io.NopCloser(bytes.NewReader([]byte("task"))), sent: &out}
	assert.Assert(t, out.AbortIfUnsent())

	n, err := body.Read(make([]byte, 4))

	assert.Equal(t, n, 0)
	assert.Equal(t, err, errAborted)
}

// A request is redirected. net/http's Client would resend it to the new address; a Link
// returns an error.
func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int64
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	l := New(Options{Address: listener.Addr().String()})
	defer l.Close()

	_, err = l.Start(context.Background(), connect.NewRequest(&wirev1.StartRequest{Seq: 1}))

	assert.Assert(t, err != nil)
	assert.Equal(t, calls.Load(), int64(1))
}
