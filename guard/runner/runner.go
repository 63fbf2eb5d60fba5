// Package runner calls one runner over HTTP/1.1: each task is sent once, its
// answer is taken whole or not at all, and the runner's own refusals are told
// apart from failures.
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

// Headers between a guard and a runner.
const (
	HeaderTask     = "Almond-Task"
	HeaderKind     = "Almond-Kind"
	HeaderCustomer = "Almond-Customer"
	// HeaderRunLimit is the longest run allowed, in milliseconds.
	HeaderRunLimit = "Almond-Run-Limit-Ms"
	// HeaderRan, when "no", makes a 503 or 429 a true refusal.
	HeaderRan = "Almond-Ran"
	// HeaderDigest is RFC 9530's field; the value is sha-256=:<base64>:.
	HeaderDigest = "Content-Digest"
)

const (
	runPath           = "/v1/run"
	ranNo             = "no"
	digestPrefix      = "sha-256=:"
	digestSuffix      = ":"
	maxHeaderBytes    = 64 << 10
	maxMessageBytes   = 512
	defaultIdle       = 2 * time.Second
	contentType       = "application/octet-stream"
	headerContentType = "Content-Type"
)

// Errors of the package.
var (
	errTooLong  = errors.New("answer longer than allowed")
	errNoLength = errors.New("answer with neither length, chunks nor digest can't be told from a cut one")
	errDigest   = errors.New("digest of the answer does not match")
)

// Verdict is how a call ended.
type Verdict int

// Verdicts of a call.
const (
	// Completed: the runner gave a whole answer.
	Completed Verdict = iota
	// Refused: the runner itself says that it did not start the task.
	Refused
	// Absent: the runner can't be connected to; no byte was sent.
	Absent
	// Withdrawn: cancelled before a byte of the call was sent.
	Withdrawn
	// Busy: no connection carried the call, or none was free within the run limit;
	// no byte was sent.
	Busy
	// Failed: the runner answered with an error; it ran.
	Failed
	// Truncated: the answer was cut short, too long, or its digest is wrong.
	Truncated
	// RunLimit: stopped after the run limit.
	RunLimit
	// Cancelled: stopped by its owner.
	Cancelled
	// Lost: the connection broke without an answer; it may have run.
	Lost
	// unsent: the connection was found broken before a byte was written to it.
	unsent
)

// maxTries bounds the connections tried for one call. Another one is taken
// only when nothing was written to the one before. Two are enough where the idle
// ones are closed between them; the third is for one that another call of a wave
// gives back broken meanwhile.
const maxTries = 3

// Request is one call.
type Request struct {
	// Task is "<submission>/<index>".
	Task     string
	Kind     string
	Customer string
	Payload  []byte
	// Digest is the SHA-256 of the payload.
	Digest []byte
	// RunLimit is the longest run allowed.
	RunLimit time.Duration
}

// Outcome is the end of one call.
type Outcome struct {
	Verdict Verdict
	// Payload and its SHA-256 are set when completed.
	Payload []byte
	Digest  []byte
	Message string
	// Elapsed is the time from the call to its end.
	Elapsed time.Duration
}

// Options of a Client.
type Options struct {
	// Address is the IP and port of the runner.
	Address string
	// Connections bounds the open connections.
	Connections int
	// MaxAnswer bounds an answer, in bytes.
	MaxAnswer int64
	// CancelGrace is how long a cancelled call may take to end by itself.
	CancelGrace time.Duration
	// Idle is how long an unused connection is kept; 0 means 2 s. Servers
	// commonly close idle ones after 5 s or more: a call that crosses such a
	// close is lost, so this side closes first.
	Idle time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Client calls one runner. It is safe for concurrent use.
type Client struct {
	opts      Options
	url       *url.URL
	transport *http.Transport
}

// New returns a client; it opens no connection yet.
func New(opts Options) *Client {
	if opts.Idle == 0 {
		opts.Idle = defaultIdle
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
			IdleConnTimeout:        opts.Idle,
			MaxResponseHeaderBytes: maxHeaderBytes,
			// A compressed answer would lose its Content-Length.
			DisableCompression: true,
		},
	}
}

// Close closes the idle connections; calls that run go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run calls the runner once. It returns when the call has truly ended: after a
// cancel through ctx the connection is closed for writing, which the runner
// sees as the cancel, and its end is awaited for the grace time.
func (c *Client) Run(ctx context.Context, r Request) Outcome {
	began := c.opts.Now()
	k := newCall(c.opts.CancelGrace)
	defer k.end()
	limit := time.AfterFunc(r.RunLimit, func() { k.stop(RunLimit) })
	defer limit.Stop()
	defer context.AfterFunc(ctx, func() { k.stop(Cancelled) })()
	out := c.exchange(k, r)
	for tries := 1; out.Verdict == unsent && tries < maxTries; tries++ {
		// A wave of stops leaves several closed connections among the idle ones.
		// Tried one by one they use up the tries of a call to a runner that is well.
		c.transport.CloseIdleConnections()
		out = c.exchange(k, r)
	}
	if out.Verdict == unsent {
		// Every try had a connection, so the runner is there. Reported as absent it
		// would get no work from any entry until it registers again.
		out.Verdict = Busy
	}
	out.Elapsed = c.opts.Now().Sub(began)
	return out
}

// exchange sends the request and reads the answer.
func (c *Client) exchange(k *call, r Request) Outcome {
	// RoundTrip and not an http.Client: that would follow a redirect, and so
	// send the task a second time.
	resp, err := c.transport.RoundTrip(c.request(k, r))
	if err != nil {
		return k.broken(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if refused(resp) {
		return Outcome{Verdict: Refused, Message: message(resp)}
	}
	if v, stopped := k.stopped(); stopped {
		return Outcome{Verdict: v, Message: stopMessage(v)}
	}
	if resp.StatusCode != http.StatusOK {
		return Outcome{Verdict: Failed, Message: message(resp)}
	}
	payload, digest, err := c.read(resp)
	if v, stopped := k.stopped(); stopped {
		return Outcome{Verdict: v, Message: stopMessage(v)}
	}
	if err != nil {
		return Outcome{Verdict: Truncated, Message: err.Error()}
	}
	return Outcome{Verdict: Completed, Payload: payload, Digest: digest}
}

// request builds the call. Its body can't be rewound (no GetBody), POST is not
// an idempotent method and no Idempotency-Key is set: otherwise the Transport
// sends it again when a reused connection breaks, and the task runs twice.
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
		GotConn: func(info httptrace.GotConnInfo) { k.took(info.Conn) },
	}))
}

func header(r Request) http.Header {
	return http.Header{
		headerContentType: {contentType},
		HeaderTask:        {r.Task},
		HeaderKind:        {r.Kind},
		HeaderCustomer:    {r.Customer},
		HeaderRunLimit:    {strconv.FormatInt(r.RunLimit.Milliseconds(), 10)},
		HeaderDigest:      {FormatDigest(r.Digest)},
	}
}

// FormatDigest renders a SHA-256 as the value of Content-Digest.
func FormatDigest(sum []byte) string {
	return digestPrefix + base64.StdEncoding.EncodeToString(sum) + digestSuffix
}

// read takes the whole answer and checks that it is whole.
func (c *Client) read(resp *http.Response) (payload, digest []byte, err error) {
	if resp.ContentLength > c.opts.MaxAnswer {
		return nil, nil, errTooLong
	}
	declared, hasDigest := declaredDigest(resp.Header)
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !hasDigest {
		return nil, nil, errNoLength
	}
	payload, err = readAll(resp.Body, resp.ContentLength, c.opts.MaxAnswer)
	if err != nil {
		return nil, nil, fmt.Errorf("answer cut short: %w", err)
	}
	sum := sha256.Sum256(payload)
	if hasDigest && declared != FormatDigest(sum[:]) {
		return nil, nil, errDigest
	}
	return payload, sum[:], nil
}

// readAll reads a body of a known length, or up to a bound.
func readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		payload := make([]byte, length)
		_, err := io.ReadFull(body, payload)
		return payload, err
	}
	payload, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(payload)) > limit {
		return nil, errTooLong
	}
	return payload, err
}

// declaredDigest returns the SHA-256 member of Content-Digest.
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

func refused(resp *http.Response) bool {
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	return busy && resp.Header.Get(HeaderRan) == ranNo
}

// message is the status and the beginning of an error's body.
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
