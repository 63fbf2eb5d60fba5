// Package bare calls runners that have no guard, over their HTTP interface. One
// call is one request, sent at most once; nothing can be resolved afterwards.
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

// Headers of the runner's interface.
const (
	headerTask     = "Almond-Task"
	headerKind     = "Almond-Kind"
	headerCustomer = "Almond-Customer"
	headerRunLimit = "Almond-Run-Limit-Ms"
	headerRan      = "Almond-Ran"
	headerDigest   = "Content-Digest"

	digestPrefix = "sha-256=:"
	digestSuffix = ":"
	ranNo        = "no"
)

// Errors of a call. ErrNotSent and ErrRefused alone mean that the task did not
// start and will not.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("runner not reached")
	// ErrRefused means that the runner said it did not start the task.
	ErrRefused = errors.New("runner refused")
	// ErrFailed means that the runner answered with an error status: it ran.
	ErrFailed = errors.New("runner failed the task")
	// ErrTruncated means that the answer was not whole: it ran.
	ErrTruncated = errors.New("runner's answer not whole")
	// ErrRunLimit means that the run limit passed; the task may have run.
	ErrRunLimit = errors.New("run limit passed")
	// ErrLost means that the call broke after it was sent; the task may have run.
	ErrLost = errors.New("runner lost")
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	defaultIdle        = 2 * time.Second
	defaultMaxAnswer   = 64 << 20
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
	maxMessage         = 256
	// leastRunTime is that of a call that ended within a stall: zero would mean unknown.
	leastRunTime = time.Microsecond
)

// Options describe a client. Zero values take the defaults.
type Options struct {
	// Address is the IP and port of the runner.
	Address string
	// Connections bounds the open connections.
	Connections int
	// DialTimeout bounds the opening of one.
	DialTimeout time.Duration
	// Idle is how long an unused connection is kept. It is shorter than what
	// servers commonly allow: a request that is written just as the runner closes
	// an idle connection may have run for all that anyone can tell.
	Idle time.Duration
	// MaxAnswer bounds an answer in bytes.
	MaxAnswer int64
	// Stalled is the time for which this process has not run; nil counts none.
	Stalled func() time.Duration
}

func (o Options) withDefaults() Options {
	if o.Connections <= 0 {
		o.Connections = 1
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Idle == 0 {
		o.Idle = defaultIdle
	}
	if o.MaxAnswer == 0 {
		o.MaxAnswer = defaultMaxAnswer
	}
	if o.Stalled == nil {
		o.Stalled = func() time.Duration { return 0 }
	}
	return o
}

// Request is one run of one task.
type Request struct {
	// Task is "<submission>/<index>".
	Task     string
	Kind     string
	Customer string
	RunLimit time.Duration
	Payload  []byte
}

// Answer is a whole answer.
type Answer struct {
	Payload []byte
	// Digest is the SHA-256 of the payload.
	Digest [sha256.Size]byte
	// RunTime is the time that the call took, without the time for which this process did
	// not run.
	RunTime time.Duration
}

// Client calls one runner.
type Client struct {
	url       string
	maxAnswer int64
	stalled   func() time.Duration
	transport *http.Transport
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
		IdleConnTimeout:     o.Idle,
	}
	return &Client{
		url:       "http://" + o.Address + "/v1/run",
		maxAnswer: o.MaxAnswer,
		stalled:   o.Stalled,
		transport: transport,
	}
}

// Close closes the connections that carry no call.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call runs a task. Ending ctx closes the connection, which stops the run; the
// error is then ErrNotSent or ErrLost like for any other broken call.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.RunLimit > 0 {
		limit := time.AfterFunc(r.RunLimit, func() { cancel(ErrRunLimit) })
		defer limit.Stop()
	}
	var connected atomic.Bool
	req, err := c.request(ctx, &connected, r)
	if err != nil {
		return Answer{}, eris.Wrap(ErrNotSent, err.Error())
	}
	began, stalled := time.Now(), c.stalled()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Answer{}, broken(ctx, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := c.read(ctx, resp)
	answer.RunTime = max(time.Since(began)-(c.stalled()-stalled), leastRunTime)
	return answer, err
}

// request builds the request so that net/http's Transport can't send it twice:
// POST, without GetBody and without an Idempotency-Key header. The Transport is
// used without a Client, which would follow a redirect.
func (c *Client) request(ctx context.Context, connected *atomic.Bool, r Request) (*http.Request, error) {
	// A request that never got a connection was not written. Anything later
	// counts as written: the transport does not tell reliably how much left.
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
	req.Header.Set(headerCustomer, r.Customer)
	req.Header.Set(headerRunLimit, strconv.FormatInt(r.RunLimit.Milliseconds(), 10))
	req.Header.Set(headerDigest, digestPrefix+base64.StdEncoding.EncodeToString(digest[:])+digestSuffix)
	return req, nil
}

// broken turns a failed round trip into the layer's errors.
func broken(ctx context.Context, connected bool, err error) error {
	if !connected {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	if errors.Is(context.Cause(ctx), ErrRunLimit) {
		return ErrRunLimit
	}
	return eris.Wrap(ErrLost, err.Error())
}

func (c *Client) read(ctx context.Context, resp *http.Response) (Answer, error) {
	if resp.StatusCode != http.StatusOK {
		return Answer{}, rejected(resp)
	}
	if resp.ContentLength > c.maxAnswer {
		return Answer{}, eris.Wrapf(ErrTruncated, "answer of %d bytes is over the limit", resp.ContentLength)
	}
	payload, err := readAll(resp)
	if err != nil {
		return Answer{}, cutShort(ctx, err)
	}
	digest := sha256.Sum256(payload)
	if !digestMatches(resp.Header.Get(headerDigest), digest) {
		return Answer{}, eris.Wrap(ErrTruncated, "digest does not match")
	}
	return Answer{Payload: payload, Digest: digest}, nil
}

// rejected reads a status other than 200.
func rejected(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	message := resp.Status + ": " + strings.TrimSpace(string(text))
	refusing := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if refusing && resp.Header.Get(headerRan) == ranNo {
		return eris.Wrap(ErrRefused, message)
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

// cutShort turns a broken answer into the layer's errors. The status line was
// read, so the task ran; whether a stopped one ended can't be told.
func cutShort(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrRunLimit) {
		return ErrRunLimit
	}
	if cause != nil {
		return eris.Wrap(ErrLost, err.Error())
	}
	return eris.Wrap(ErrTruncated, err.Error())
}

// digestMatches reports whether a Content-Digest header agrees; one without a
// SHA-256 agrees with anything.
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
