// Package runner calls one runner over HTTP/1.1. Each task is sent at most once,
// a response is accepted only if it is complete, and tasks that the runner
// rejected are distinguished from tasks that failed.
package runner

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers of the requests and responses between a guard and a runner.
const (
	HeaderTask   = "Almond-Task"
	HeaderKind   = "Almond-Kind"
	HeaderClient = "Almond-Customer"
	// HeaderRunLimit is the maximum run time, in milliseconds.
	HeaderRunLimit = "Almond-Run-Limit-Ms"
	// HeaderRan with the value "no" marks a 503 or 429 response as a rejection:
	// the task did not run.
	HeaderRan = "Almond-Ran"
	// HeaderDigest is the field of RFC 9530; its value is sha-256=:<base64>:.
	HeaderDigest = "Content-Digest"
)

const (
	runPath            = "/v1/run"
	ranNo              = "no"
	digestPrefix       = "sha-256=:"
	digestSuffix       = ":"
	maxHeaderBytes     = 64 << 10
	maxMessageBytes    = 512
	defaultIdleTimeout = 2 * time.Second
	contentType        = "application/octet-stream"
	headerContentType  = "Content-Type"
)

// Errors in a runner's response.
var (
	errResponseTooLong = errors.New("answer longer than allowed")
	errUnknownLength   = errors.New("answer with neither length, chunks nor digest can't be told from a cut one")
	errDigestMismatch  = errors.New("digest of the answer does not match")
)

// Verdict classifies the end of a call.
type Verdict int

// Verdicts of a call.
const (
	// Completed: the runner sent a complete response.
	Completed Verdict = iota
	// Rejected: the runner reported that it did not start the task.
	Rejected
	// Unreachable: no connection to the runner could be opened; no byte was sent.
	Unreachable
	// CancelledBeforeSend: the call was cancelled before any byte of it was sent.
	CancelledBeforeSend
	// NoConnection: every connection broke before the call was written to it, or none
	// became free within the run limit; no byte was sent.
	NoConnection
	// Failed: the runner responded with an error; the task ran.
	Failed
	// Truncated: the response was incomplete or too long, or its digest did not
	// match.
	Truncated
	// RunLimit: the call was stopped at the run limit.
	RunLimit
	// Cancelled: the call was cancelled through its context.
	Cancelled
	// ConnectionLost: the connection broke without a response; the task may have run.
	ConnectionLost
	// notSent: the connection turned out to be broken before a byte was written
	// to it.
	notSent
)

// maxAttempts is the maximum number of connections tried for one call. Another
// one is tried only if nothing was written to the previous one. Two suffice where
// the idle connections are closed in between; the third covers a broken
// connection that another cancelled call returns to the pool in the meantime.
const maxAttempts = 3

// Request describes one call.
type Request struct {
	// Task is "<submission>/<index>".
	Task    string
	Kind    string
	Client  string
	Payload []byte
	// Digest is the SHA-256 of the payload.
	Digest []byte
	// RunLimit is the maximum run time.
	RunLimit time.Duration
}

// Outcome is the result of one call.
type Outcome struct {
	Verdict Verdict
	// Payload and Digest, its SHA-256, are set if the call completed.
	Payload []byte
	Digest  []byte
	Message string
	// Elapsed is the duration of the call.
	Elapsed time.Duration
}

// Options configure a Client.
type Options struct {
	// Address is the IP and port of the runner.
	Address string
	// Connections is the maximum number of open connections.
	Connections int
	// MaxResponseBytes is the maximum size of a response, in bytes.
	MaxResponseBytes int64
	// CancelGrace is the time that a stopped call has to end before its
	// connection is closed.
	CancelGrace time.Duration
	// IdleTimeout is the time for which an unused connection is kept; 0 means 2 s.
	// Servers commonly close idle connections after 5 s or more. A call that
	// coincides with such a close is lost, so the client closes first.
	IdleTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Client calls one runner. It is safe for concurrent use.
type Client struct {
	opts      Options
	url       *url.URL
	transport *http.Transport
}

// New returns a client, which opens connections on demand.
func New(opts Options) *Client {
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Client{
		opts: opts,
		url:  &url.URL{Scheme: "http", Host: opts.Address, Path: runPath},
		transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        opts.Connections,
			MaxIdleConnsPerHost:    opts.Connections,
			IdleConnTimeout:        opts.IdleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// A response that the transport decompresses loses its
			// Content-Length.
			DisableCompression: true,
		},
	}
}

// Close closes the idle connections; calls in progress continue.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run calls the runner once and returns when the call has really ended. After ctx
// is cancelled it closes the connection for writing, which the runner sees as the
// cancellation, and waits up to CancelGrace for the call to end.
func (c *Client) Run(ctx context.Context, r Request) Outcome {
	start := c.opts.Now()
	k := newCall(c.opts.CancelGrace)
	defer k.end()
	runLimitTimer := time.AfterFunc(r.RunLimit, func() { k.stop(RunLimit) })
	defer runLimitTimer.Stop()
	defer context.AfterFunc(ctx, func() { k.stop(Cancelled) })()
	out := c.roundTrip(k, r)
	for attempts := 1; out.Verdict == notSent && attempts < maxAttempts; attempts++ {
		// Several calls stopped at once leave several closed connections among
		// the idle ones. Trying them one by one would use up all attempts of a
		// call to a healthy runner.
		c.transport.CloseIdleConnections()
		out = c.roundTrip(k, r)
	}
	if out.Verdict == notSent {
		// Every attempt got a connection, so the runner is listening. If it were
		// reported as absent, no entry would send it work until it registers
		// again.
		out.Verdict = NoConnection
	}
	out.Elapsed = c.opts.Now().Sub(start)
	return out
}

// roundTrip sends the request and reads the response.
func (c *Client) roundTrip(k *call, r Request) Outcome {
	// An http.Client would follow a redirect and so send the task a second time.
	resp, err := c.transport.RoundTrip(c.request(k, r))
	if err != nil {
		return k.failedOutcome(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if isRejected(resp) {
		return Outcome{Verdict: Rejected, Message: message(resp)}
	}
	if v, stopped := k.stopped(); stopped {
		return Outcome{Verdict: v, Message: stopMessage(v)}
	}
	if resp.StatusCode != http.StatusOK {
		return Outcome{Verdict: Failed, Message: message(resp)}
	}
	payload, digest, err := c.readResponse(resp)
	if v, stopped := k.stopped(); stopped {
		return Outcome{Verdict: v, Message: stopMessage(v)}
	}
	if err != nil {
		return Outcome{Verdict: Truncated, Message: err.Error()}
	}
	return Outcome{Verdict: Completed, Payload: payload, Digest: digest}
}

// request builds the HTTP request. Its body can't be rewound (no GetBody), POST
// is not an idempotent method and no Idempotency-Key is set: otherwise the
// Transport would retry the request when a reused connection breaks, and the task
// would run twice.
func (c *Client) request(k *call, r Request) *http.Request {
	req := &http.Request{
		Method:        http.MethodPost,
		URL:           c.url,
		Host:          c.url.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header(r),
		Body:          io.NopCloser(bytes.NewReader(r.Payload)),
		ContentLength: int64(len(r.Payload)),
	}
	if len(r.Payload) == 0 {
		req.Body = http.NoBody
	}
	return req.WithContext(httptrace.WithClientTrace(k.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { k.gotConn(info.Conn) },
	}))
}

func header(r Request) http.Header {
	return http.Header{
		headerContentType: {contentType},
		HeaderTask:        {r.Task},
		HeaderKind:        {r.Kind},
		HeaderClient:      {r.Client},
		HeaderRunLimit:    {strconv.FormatInt(r.RunLimit.Milliseconds(), 10)},
		HeaderDigest:      {FormatDigest(r.Digest)},
	}
}

// FormatDigest formats a SHA-256 as a Content-Digest value.
func FormatDigest(sum []byte) string {
	return digestPrefix + base64.StdEncoding.EncodeToString(sum) + digestSuffix
}

// readResponse reads the response body and verifies that it is complete.
func (c *Client) readResponse(resp *http.Response) (payload, digest []byte, err error) {
	if resp.ContentLength > c.opts.MaxResponseBytes {
		return nil, nil, errResponseTooLong
	}
	declared, hasDigest := declaredDigest(resp.Header)
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !hasDigest {
		return nil, nil, errUnknownLength
	}
	payload, err = readAll(resp.Body, resp.ContentLength, c.opts.MaxResponseBytes)
	if err != nil {
		return nil, nil, fmt.Errorf("answer cut short: %w", err)
	}
	sum := sha256.Sum256(payload)
	if hasDigest && declared != FormatDigest(sum[:]) {
		return nil, nil, errDigestMismatch
	}
	return payload, sum[:], nil
}

// readAll reads a body of known length, or one of unknown length up to the limit.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		payload := make([]byte, length)
		_, err := io.ReadFull(body, payload)
		return payload, err
	}
	payload, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(payload)) > limit {
		return nil, errResponseTooLong
	}
	return payload, err
}

// declaredDigest returns the SHA-256 member of Content-Digest, if present.
func declaredDigest(h http.Header) (string, bool) {
	for _, line := range h.Values(HeaderDigest) {
		for member := range strings.SplitSeq(line, ",") {
			member = strings.TrimSpace(member)
			if strings.HasPrefix(strings.ToLower(member), digestPrefix) {
				return digestPrefix + member[len(digestPrefix):], true
			}
		}
	}
	return "", false
}

func isRejected(resp *http.Response) bool {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return unavailable && resp.Header.Get(HeaderRan) == ranNo
}

// message returns the status and the beginning of the body of an error response.
func message(resp *http.Response) string {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	text := strings.TrimSpace(strings.ToValidUTF8(string(body), "?"))
	if text == "" {
		return "runner answered " + resp.Status
	}
	return "runner answered " + resp.Status + ": " + text
}

func stopMessage(v Verdict) string {
	if v == RunLimit {
		return "stopped after the run limit"
	}
	return "cancelled while it ran"
}
