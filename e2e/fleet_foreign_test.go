package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"almondstand.dev/e2e/fleet"
	"almondstand.dev/standin/metastore"
	"almondstand.dev/wire/fleetwire"
	"almondstand.dev/wire/wirev1"
)

// foreign is a program that writes into everything that others may write into.
type foreign struct {
	fleet *fleet.Fleet
	// address at which it listens, and calls the connections that came there.
	address string
	calls   atomic.Int64
}

func newForeign(t *testing.T, f *fleet.Fleet) *foreign {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x := &foreign{fleet: f, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.calls.Add(1)
			_ = c.Close()
		}
	}()
	return x
}

// heartbeats lack something or say what can't be; all name the foreign address.
func (x *foreign) heartbeats(t *testing.T) {
	for i, body := range []string{
		`{"address":"%s","state":"ready","capacity":{"cpu":64000,"mem_mb":1000},"clock_ms":1,"seq":1}`,
		`{"service":"teardown","address":"%s","state":"resting","capacity":{"cpu":64000},"clock_ms":1,"seq":1}`,
		`{"service":"teardown","address":"%s","state":"ready","capacity":{"cpu":-1},"clock_ms":1,"seq":1}`,
		`{"service":"teardown","address":"%s","state":"ready","clock_ms":1,"seq":1}`,
		`{"service":"teardown","address":"%s`,
	} {
		for _, g := range x.fleet.Guards {
			text := strings.Replace(body, "%s", x.address, 1)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, fmt.Sprintf("http://%s/instances/foreign-%d", g.Control, i), strings.NewReader(text))
			assert.NilError(t, err)
			res, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			_ = res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusBadRequest, "%s", text)
		}
	}
}

// keys are none of an entry's, beside those of the entries.
func (x *foreign) keys() {
	for i, value := range []string{"", "7", "somewhere", x.address + "/", "http://" + x.address, "0.0.0.0:7720", "\x00\xff"} {
		x.fleet.Store.Put(fmt.Sprint(fleetwire.EntriesPrefix, "foreign-", i), []byte(value))
	}
	x.fleet.Store.Put(metastore.ConfigKey, []byte(`{"version":99,"routes":[{"host":"shop.example"}]}`))
}

// messages to the entries: addresses that are none, and bytes that are no message.
func (x *foreign) messages(t *testing.T) {
	for _, n := range x.fleet.Entries {
		client := fleetwire.NewClient(http2Client(), n.Outside+":7720")
		_, err := client.Meet(t.Context(), connect.NewRequest(&wirev1.MeetRequest{Entry: "foreign", Address: "http://" + x.address}))
		assert.NilError(t, err)
		c, err := net.DialTimeout("tcp", n.Outside+":7720", time.Second)
		assert.NilError(t, err)
		_, err = io.WriteString(c, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\xff\xff\xff garbage")
		assert.NilError(t, err)
		_ = c.Close()
	}
}

func http2Client() *http.Client {
	return &http.Client{Transport: fleetwire.NewTransport(time.Second)}
}

// Another program writes into the store beside the entries' keys, sends heartbeats to the
// agents and messages to the entries while callers are served. What it writes names
// nobody to use: no request fails, nothing is sent to it, the configuration that holds
// goes on, and each kind has its line.
func TestForeignWritersChangeNothing(t *testing.T) {
	f := startFleet(t, 2, 3)
	x := newForeign(t, f)
	stop := steady(t, f, f.Entries, 30*time.Millisecond)
	x.keys()
	for range 3 {
		x.heartbeats(t)
		x.messages(t)
		time.Sleep(300 * time.Millisecond)
	}
	f.Guards[0].Process().Terminate()
	<-f.Guards[0].Process().Done()
	assert.NilError(t, f.Guards[0].Start())
	time.Sleep(4 * time.Second)
	assert.Equal(t, strings.Join(stop(), "\n"), "")
	assert.Equal(t, x.calls.Load(), int64(0), "something was sent to the foreign address")
	for node, events := range map[*fleet.Node][]string{
		f.Guards[0]:  {"guard.side_malformed_entries"},
		f.Guards[1]:  {"guard.report_malformed"},
		f.Entries[0]: {"registry.malformed_address", "config.unreadable"},
	} {
		for _, e := range events {
			assert.Assert(t, strings.Contains(node.Process().Log(), `"`+e+`"`), "%s: no %s", node.ID, e)
		}
	}
}
