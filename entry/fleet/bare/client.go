// Package bare calls runners without a guard over their HTTP interface. A call is one
// request, sent at most once; its outcome can't be queried afterwards.
package bare

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Headers of the runner interface.
const (
	headerTask     = "Almond-Task"
	headerKind     = "Almond-Kind"
	headerClient   = "Almond-Customer"
	headerRunLimit = "Almond-Run-Limit-Ms"
	headerRan      = "Almond-Ran"
	headerDigest   = "Content-Digest"

	digestPrefix = "sha-256=:"
	digestSuffix = ":"
	ranNo        = "no"
)

// Errors of a call. Only ErrNotSent and ErrRejected mean that the task did not start and
// will not start.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("runner not reached")
	// ErrRejected means that the runner reported that it did not start the task.
	ErrRejected = errors.New("runner refused")
	// ErrFailed means that the runner answered with an error status; the task ran.
	ErrFailed = errors.New("runner failed the task")
	// ErrTruncated means that the response was incomplete or corrupt; the task ran.
	ErrTruncated = errors.New("runner's answer not whole")
	// ErrRunLimit means that the run limit was exceeded; the task may have run.
	ErrRunLimit = errors.New("run limit passed")
	// ErrLost means that the call failed after it was sent; the task may have run.
	ErrLost = errors.New("runner lost")
)

// Defaults and limits.
const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 2 * time.Second
	defaultMaxAnswer   = 64 << 20
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
	maxErrorText       = 256
	// minRunTime is the run time reported for a call that ended during a stall of this
	// process: zero would mean unknown.
	minRunTime = time.Microsecond
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// Address is the IP and port of the runner.
	Address string
	// Connections is the maximum number of open connections.
	Connections int
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open. It is shorter than the idle
	// timeout of common servers: if a request is written just as the runner closes an
	// idle connection, it can't be determined whether the task ran.
	IdleTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response in bytes.
	MaxResponseBytes int64
	// StalledTime returns the total time during which this process did not run; nil means
	// none.
	StalledTime func() time.Duration
}

func (o Options) withDefaults() Options {
	if o.Connections <= 0 {
		o.Connections = 1
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxAnswer
	}
	if o.StalledTime == nil {
		o.StalledTime = func() time.Duration { return 0 }
	}
	return o
}

// Request is one execution of a task.
type Request struct {
	// Task is "<submission>/<index>".
	Task          string
	Kind          string
	ClientAccount string
	RunLimit      time.Duration
	Payload       []byte
}

// Response is a complete response.
type Response struct {
	Payload []byte
	// Digest is the SHA-256 of the payload.
	Digest [sha256.Size]byte
	// RunTime is the duration of the call, without the time during which this process
	// did not run.
	RunTime time.Duration
}

// Client calls one runner.
type Client struct {
	url         string
	maxResponse int64
	stalled     func() time.Duration
	transport   *http.Transport
}

// New returns a client of one runner. It dials on the first call.
func New(o Options) *Client {
	o = o.withDefaults()
	dialer := &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     o.Connections,
		MaxIdleConnsPerHost: o.Connections,
		IdleConnTimeout:     o.IdleTimeout,
	}
	return &Client{
		url:         "http://" + o.Address + "/v1/run",
		maxResponse: o.MaxResponseBytes,
		stalled:     o.StalledTime,
		transport:   transport,
	}
}

// Close closes the connections that carry no call.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call runs a task. Ending ctx closes the connection, which stops the run; the error is
// then ErrNotSent or ErrLost, as for any other failed call.
func (c *Client) Call(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.RunLimit > 0 {
		limit := time.AfterFunc(r.RunLimit, func() { cancel(ErrRunLimit) })
		defer limit.Stop()
	}
	var connected atomic.Bool
	req, err := c.request(ctx, &connected, r)
	if err != nil {
		return Response{}, eris.Wrap(ErrNotSent, err.Error())
	}
	began, stalled := time.Now(), c.stalled()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Response{}, roundTripError(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := c.read(ctx, resp)
	answer.RunTime = max(time.Since(began)-(c.stalled()-stalled), minRunTime)
	return answer, err
}

// request builds the request so that net/http's Transport can't send it twice: a POST
// without GetBody and without an Idempotency-Key header. The Transport is used without
// a Client, which would follow redirects.
func (c *Client) request(ctx context.Context, connected *atomic.Bool, r Request) (*http.Request, error) {
	// A request that never got a connection was not written. Any later failure counts
	// as written, because the transport does not reliably report how much was sent.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, io.NopCloser(bytes.NewReader(r.Payload)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.ContentLength = int64(len(r.Payload))
	if len(r.Payload) == 0 {
		req.Body = http.NoBody
	}
	digest := sha256.Sum256(r.Payload)
	req.Header.Set("Content-Type", "application/octet-stream")
	req.Header.Set(headerTask, r.Task)
	req.Header.Set(headerKind, r.Kind)
	req.Header.Set(headerClient, r.ClientAccount)
	req.Header.Set(headerRunLimit, strconv.FormatInt(r.RunLimit.Milliseconds(), 10))
	req.Header.Set(headerDigest, digestPrefix+base64.StdEncoding.EncodeToString(digest[:])+digestSuffix)
	return req, nil
}

// roundTripError converts the error of a failed round trip into an error of this
// package.
func roundTripError(ctx context.Context, connected bool, err error) error {
	if !connected {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	if errors.Is(context.Cause(ctx), ErrRunLimit) {
		return ErrRunLimit
	}
	return eris.Wrap(ErrLost, err.Error())
}

func (c *Client) read(ctx context.Context, resp *http.Response) (Response, error) {
	if resp.StatusCode != http.StatusOK {
		return Response{}, statusError(resp)
	}
	if resp.ContentLength > c.maxResponse {
		return Response{}, eris.Wrapf(ErrTruncated, "answer of %d bytes is over the limit", resp.ContentLength)
	}
	payload, err := readAll(resp)
	if err != nil {
		return Response{}, readError(ctx, err)
	}
	digest := sha256.Sum256(payload)
	if !digestMatches(resp.Header.Get(headerDigest), digest) {
		return Response{}, eris.Wrap(ErrTruncated, "digest does not match")
	}
	return Response{Payload: payload, Digest: digest}, nil
}

// statusError converts a response with a status other than 200 into an error.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	message := resp.Status + ": " + strings.TrimSpace(string(text))
	refusing := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refusing && resp.Header.Get(headerRan) == ranNo {
		return eris.Wrap(ErrRejected, message)
	}
	return eris.Wrap(ErrFailed, message)
}

func readAll(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 {
		return nil, errors.New("answer without a length")
	}
	payload := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, payload)
	return payload, err
}

// readError converts an error while reading the response into an error of this package.
// The status line was read, so the task ran; for an interrupted call it is unknown
// whether the task finished.
func readError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrRunLimit) {
		return ErrRunLimit
	}
	if cause != nil {
		return eris.Wrap(ErrLost, err.Error())
	}
	return eris.Wrap(ErrTruncated, err.Error())
}

// digestMatches reports whether a Content-Digest header matches the digest. A header
// without a SHA-256 digest matches any.
func digestMatches(header string, digest [sha256.Size]byte) bool {
	for _, field := range strings.Split(header, ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), digestPrefix)
		if !found {
			continue
		}
		return value == base64.StdEncoding.EncodeToString(digest[:])+digestSuffix
	}
	return true
}
