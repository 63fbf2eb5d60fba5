package telemetry_test

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"almondstand.dev/telemetry"
)

// meteredListener counts the bytes read and written on its connections.
type meteredListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &meteredConn{c, l}, err
}

type meteredConn struct {
	net.Conn
	l *meteredListener
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

// Guards against overstating control traffic: operators compare `report control` with the
// budget of 3 KB/s. Adding up headers at their HTTP/1.1 size gave three to four times the
// bytes that HTTP/2 sends, so a node within its budget seemed to exceed it. The counts of
// both ends must be close to the bytes on the connection, both for a kept connection and
// for one connection per call.
func TestControlCountsBytesOnTheConnection(t *testing.T) {
	const calls = 60
	for _, c := range []struct {
		name   string
		h2     bool
		single bool
	}{{"http2 kept", true, false}, {"http2 a connection a call", true, true}, {"http1 kept", false, false}} {
		t.Run(c.name, func(t *testing.T) {
			client, server := telemetry.NewControlTraffic(tally.NoopScope), telemetry.NewControlTraffic(tally.NoopScope)
			kind := func(*http.Request) string { return "announce" }
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(c.h2)
			protocols.SetHTTP1(!c.h2)
			s := httptest.NewUnstartedServer(server.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/proto")
				_, _ = io.Copy(w, r.Body)
			}), kind))
			l := &meteredListener{Listener: s.Listener}
			s.Listener, s.Config.Protocols, s.Config.ConnContext = l, protocols, telemetry.ConnContext
			s.Start()
			defer s.Close()
			transport := &http.Transport{Protocols: protocols, DisableCompression: true, DisableKeepAlives: c.single}
			hc := &http.Client{Transport: client.Transport(transport, kind)}
			for range calls {
				req, err := http.NewRequest(http.MethodPost, s.URL+"/almondstand.wire.v1.EntryService/Announce", bytes.NewReader(make([]byte, 80)))
				assert.NilError(t, err)
				req.Header.Set("Content-Type", "application/proto")
				req.Header.Set("Connect-Protocol-Version", "1")
				req.Header.Set("Connect-Timeout-Ms", "2000")
				req.Header.Set("Authorization", "Bearer 0123456789abcdef")
				resp, err := hc.Do(req)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
			}
			hc.CloseIdleConnections()
			s.Close()
			in, out := float64(l.in.Load())/calls, float64(l.out.Load())/calls
			a, b := client.Snapshot()[0], server.Snapshot()[0]
			t.Logf("carried %.0f and %.0f B a call, client counts %d and %d, server %d and %d", in, out,
				a.Sent/calls, a.Received/calls, b.Received/calls, b.Sent/calls)
			for _, counted := range []int64{a.Sent + a.Received, b.Sent + b.Received} {
				assert.Assert(t, math.Abs(float64(counted)/calls/(in+out)-1) < 0.15)
			}
		})
	}
}
