package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errAborted is returned to the transport when it reads the body of a request that was
// aborted before any byte of the body was read.
var errAborted = errors.New("request given up before it was sent")

// States of a SendTracker.
const (
	stateUnsent uint32 = iota
	stateSending
	stateAborted
)

// SendTracker tracks whether one request's message was sent.
type SendTracker struct{ state atomic.Uint32 }

// AbortIfUnsent reports whether no byte of the message has left the process, and prevents it
// from being sent later. It is the only proof that a Start whose call failed did not
// reach the guard: the transport's errors do not tell, and the transport may still be
// reading the body after the call has returned.
func (s *SendTracker) AbortIfUnsent() bool {
	return s.state.CompareAndSwap(stateUnsent, stateAborted) || s.state.Load() == stateAborted
}

func (s *SendTracker) markSending() bool {
	return s.state.CompareAndSwap(stateUnsent, stateSending) || s.state.Load() == stateSending
}

type sentKey struct{}

// WithSendTracker returns a context whose request is tracked by s.
func WithSendTracker(ctx context.Context, s *SendTracker) context.Context {
	return context.WithValue(ctx, sentKey{}, s)
}

// atMostOnceClient sends each request at most once.
//
// net/http's Transport resends a request on its own if GetBody can rewind the body and
// the first connection failed in certain ways, and net/http's Client resends it on a
// redirect. A second copy of a Start would be a duplicate that the entry does not know
// about. Without GetBody, and without the Client, the transport retries only while it
// has not started to read the body.
type atMostOnceClient struct {
	transport     http.RoundTripper
	authorization string
}

// Do implements connect.HTTPClient.
func (c *atMostOnceClient) Do(req *http.Request) (*http.Response, error) {
	if c.authorization != "" {
		req.Header.Set("Authorization", c.authorization)
	}
	req.GetBody = nil
	if s, ok := req.Context().Value(sentKey{}).(*SendTracker); ok && req.Body != nil {
		req.Body = &trackedBody{ReadCloser: req.Body, sent: s}
	}
	return c.transport.RoundTrip(req)
}

// trackedBody marks its SendTracker as sending before the first byte is read.
type trackedBody struct {
	io.ReadCloser
	sent *SendTracker
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.sent.markSending() {
		return 0, errAborted
	}
	return b.ReadCloser.Read(p)
}
