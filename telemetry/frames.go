package telemetry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Sizes of HTTP/2 frames as net/http writes them, in bytes. TCP headers and the pings of
// idle connections belong to no call and are not counted.
const (
	frameHeader = 9
	// A connection starts with the client's preface, SETTINGS and WINDOW_UPDATE, and the
	// server's SETTINGS and WINDOW_UPDATE; each end acknowledges the other's SETTINGS.
	clientPreface = 24 + frameHeader + 4*6 + frameHeader + 4 + frameHeader
	serverPreface = frameHeader + 5*6 + frameHeader + 4 + frameHeader
	// pseudoFields is the number of pseudo-header fields: :method, :scheme, :authority and
	// :path. The values of the last two are literals in a connection's first request.
	pseudoFields = 4
	statusField  = 1
)

// Header fields that net/http adds on its own and that are visible only at the receiver,
// with values of typical length.
var (
	addedToRequest  = map[string]string{"User-Agent": "Go-http-client/2.0", "Content-Length": "100"}
	addedToResponse = map[string]string{"Date": "Thu, 01 Jan 2026 00:00:00 GMT", "Content-Length": "100"}
)

// volatileFields lists the header fields whose value differs in each call, so that the HPACK
// dynamic table of the connection does not contain it.
var volatileFields = map[string]bool{"Date": true, "Connect-Timeout-Ms": true}

// staticNames lists the header names in HPACK's static table.
var staticNames = map[string]bool{
	"Authorization": true, "Content-Length": true, "Content-Type": true, "Date": true, "User-Agent": true,
}

type connKey struct{}

// ConnContext is for http.Server.ConnContext. It lets Handler distinguish the first request
// of a connection, whose headers are sent in full, from later ones.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(atomic.Bool))
}

// firstOnConn reports whether a request is the first one served on its connection.
func firstOnConn(r *http.Request) bool {
	used, known := r.Context().Value(connKey{}).(*atomic.Bool)
	return known && !used.Swap(true)
}

// connUse records whether a client's request got a connection and whether it was a new one.
type connUse struct{ gotConn, first atomic.Bool }

func (u *connUse) trackConn(r *http.Request) *http.Request {
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			u.gotConn.Store(true)
			u.first.Store(!i.Reused)
		},
	}))
}

// requestFrames returns the size of a request over HTTP/2 without the bytes of its body.
func requestFrames(r *http.Request, first bool) int64 {
	n := frameHeader + pseudoFields + fieldBytes(r.Header, addedToRequest, first)
	if first {
		n += clientPreface + literal(r.URL.RequestURI()) + literal(r.Host)
	}
	return int64(n + frameHeader)
}

// responseFrames returns the size of a response over HTTP/2 without the bytes of its body.
func responseFrames(h http.Header, first bool) int64 {
	n := frameHeader + statusField + fieldBytes(h, addedToResponse, first)
	if first {
		n += serverPreface
	}
	return int64(n + frameHeader)
}

// fieldBytes returns the size of header fields: in full if they were not sent on the
// connection before, otherwise one byte for each.
func fieldBytes(h http.Header, added map[string]string, first bool) int {
	n := 0
	eachField(h, added, func(name, value string) {
		n++
		if first && !staticNames[name] {
			n += literal(name)
		}
		if first || volatileFields[name] {
			n += literal(value)
		}
	})
	return n
}

// eachField calls visit for each header field of a message, including those that net/http
// adds.
func eachField(h http.Header, added map[string]string, visit func(name, value string)) {
	for name, values := range h {
		for _, value := range values {
			visit(name, value)
		}
	}
	for name, value := range added {
		if _, shown := h[name]; !shown {
			visit(name, value)
		}
	}
}

// literal returns the size of a string literal with its length prefix.
func literal(text string) int { return 1 + huffman(len(text)) }

// huffman returns the approximate size of a string under HPACK's Huffman code.
func huffman(characters int) int { return (characters*3 + 3) / 4 }
