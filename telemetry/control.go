package telemetry

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// headerOverhead is the size of a header line in bytes without its name and value:
// ": " and CRLF.
const headerOverhead = 4

const statusLine = len("HTTP/1.1 200 OK\r\n\r\n")

// ControlTraffic counts a process's control traffic by kind: everything except the
// callers' requests and the starts of tasks. Bytes are TCP payload bytes, computed
// from each message. It is safe for concurrent use.
type ControlTraffic struct {
	scope tally.Scope
	kinds sync.Map // string to *Kind
}

// NewControlTraffic returns counters that also report to the scope, as
// control_calls, control_bytes_sent and control_bytes_received with the tag kind.
func NewControlTraffic(scope tally.Scope) *ControlTraffic { return &ControlTraffic{scope: scope} }

// Kind counts the traffic of one kind, such as "store" or "exchange".
type Kind struct {
	calls, sent, received                     atomic.Int64
	callCounter, sentCounter, receivedCounter tally.Counter
}

// Kind returns the counters of a kind. Code on a hot path should keep the result.
func (c *ControlTraffic) Kind(name string) *Kind {
	if k, ok := c.kinds.Load(name); ok {
		return k.(*Kind)
	}
	scope := c.scope.Tagged(map[string]string{"kind": name})
	k, _ := c.kinds.LoadOrStore(name, &Kind{
		callCounter:     scope.Counter("control_calls"),
		sentCounter:     scope.Counter("control_bytes_sent"),
		receivedCounter: scope.Counter("control_bytes_received"),
	})
	return k.(*Kind)
}

// Call adds one call and its bytes.
func (k *Kind) Call(sent, received int64) {
	k.calls.Add(1)
	k.callCounter.Inc(1)
	k.Bytes(sent, received)
}

// Bytes adds bytes of a call that was already counted.
func (k *Kind) Bytes(sent, received int64) {
	k.sent.Add(sent)
	k.received.Add(received)
	k.sentCounter.Inc(sent)
	k.receivedCounter.Inc(received)
}

// Traffic is the total of one kind since the process started.
type Traffic struct {
	Kind     string `json:"kind"`
	Calls    int64  `json:"calls"`
	Sent     int64  `json:"sent_bytes"`
	Received int64  `json:"received_bytes"`
}

// Snapshot returns the totals of all kinds, sorted by name.
func (c *ControlTraffic) Snapshot() []Traffic {
	var all []Traffic
	c.kinds.Range(func(name, value any) bool {
		k := value.(*Kind)
		all = append(all, Traffic{
			Kind:     name.(string),
			Calls:    k.calls.Load(),
			Sent:     k.sent.Load(),
			Received: k.received.Load(),
		})
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Kind < all[j].Kind })
	return all
}

// Transport returns a RoundTripper that counts the bytes a client sends and receives on the
// connection: HTTP/2 compresses headers already sent on the same connection, HTTP/1.1
// repeats them. kind returns the kind of a request; requests of kind "" are not counted.
func (c *ControlTraffic) Transport(next http.RoundTripper, kind func(*http.Request) string) http.RoundTripper {
	return &countingTransport{control: c, next: next, kind: kind}
}

type countingTransport struct {
	control *ControlTraffic
	next    http.RoundTripper
	kind    func(*http.Request) string
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	name := t.kind(r)
	if name == "" {
		return t.next.RoundTrip(r)
	}
	k := t.control.Kind(name)
	k.Call(0, 0)
	var use connUse
	// A RoundTripper must not modify the request; trackConn returns a copy.
	r = use.trackConn(r)
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &countingBody{ReadCloser: r.Body, count: func(n int64) { k.Bytes(n, 0) }}
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		if use.gotConn.Load() {
			k.Bytes(requestHead(r), 0)
		}
		return nil, err
	}
	if resp.ProtoMajor == 2 {
		k.Bytes(requestFrames(r, use.first.Load()), responseFrames(resp.Header, use.first.Load()))
	} else {
		k.Bytes(requestHead(r), responseHead(resp.Header))
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, count: func(n int64) { k.Bytes(0, n) }}
	return resp, nil
}

// CloseIdleConnections forwards the call to the wrapped transport, which http.Client can't
// reach otherwise.
func (t *countingTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// Handler returns an http.Handler that counts the bytes a server receives and sends; see
// Transport and ConnContext.
func (c *ControlTraffic) Handler(next http.Handler, kind func(*http.Request) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := kind(r)
		first := firstOnConn(r)
		if name == "" {
			next.ServeHTTP(w, r)
			return
		}
		k := c.Kind(name)
		if r.ProtoMajor == 2 {
			k.Call(0, requestFrames(r, first))
		} else {
			k.Call(0, requestHead(r))
		}
		r.Body = &countingBody{ReadCloser: r.Body, count: func(n int64) { k.Bytes(0, n) }}
		counting := &countingWriter{ResponseWriter: w, kind: k}
		next.ServeHTTP(counting, r)
		if r.ProtoMajor == 2 {
			k.Bytes(responseFrames(w.Header(), first), 0)
		} else {
			k.Bytes(responseHead(w.Header()), 0)
		}
	})
}

type countingBody struct {
	io.ReadCloser
	count func(int64)
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	kind *Kind
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.kind.Bytes(int64(n), 0)
	return n, err
}

// Flush implements http.Flusher, which streaming handlers use directly.
func (w *countingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// Unwrap gives http.ResponseController access to the server's writer.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// requestHead returns the size of an HTTP/1.1 request without its body; responseHead that of
// a response.
func requestHead(r *http.Request) int64 {
	line := len(r.Method) + len(r.URL.RequestURI()) + len(" "+" HTTP/1.1\r\n\r\n")
	host := len("Host") + len(r.Host) + headerOverhead
	return int64(line+host) + headerBytes(r.Header, addedToRequest)
}

func responseHead(h http.Header) int64 { return int64(statusLine) + headerBytes(h, addedToResponse) }

func headerBytes(h http.Header, added map[string]string) int64 {
	n := 0
	eachField(h, added, func(name, value string) { n += len(name) + len(value) + headerOverhead })
	return int64(n)
}
