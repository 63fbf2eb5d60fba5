// Package caller is a client of the callers' API. It submits a job under one submission
// ID and retries lost requests and responses under the same ID, so that the job runs once.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Errors of a submission without a valid final response.
var (
	// ErrNoAddress means that Options has no address.
	ErrNoAddress = errors.New("no callers' address given")
	// ErrNoFinalResponse means that the context ended before a final response arrived. Result
	// holds the last known state.
	ErrNoFinalResponse = errors.New("no final response in time")
	// ErrCorruptResponse means that a response is malformed, or that a payload in it doesn't match
	// its length or digest.
	ErrCorruptResponse = errors.New("corrupt response")
)

const (
	dialTimeout = 2 * time.Second
	// initialBackoff and maxBackoff are the initial and the maximum backoff after a failed
	// request; it doubles in between.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// DefaultAttemptTimeout is the default timeout of one attempt.
	DefaultAttemptTimeout = 20 * time.Second
	maxResponseBytes      = 1 << 30 // bytes
)

// Options configures a Client.
type Options struct {
	// Addresses are the addresses (IP:port) of entries or of a load balancer, used in turn.
	Addresses []string
	Token     string
	// AttemptTimeout is the timeout of one attempt. A connection can stop delivering data while
	// new ones work; a retry under the same ID joins the running job.
	AttemptTimeout time.Duration
	// OnRetry, if set, is called before each wait for a retry.
	OnRetry func(reason string, pause time.Duration)
	// Jitter returns a random number in [0,1) that spreads the retries.
	Jitter func() float64
}

// Client submits jobs. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts Options) *Client {
	if opts.AttemptTimeout <= 0 {
		opts.AttemptTimeout = DefaultAttemptTimeout
	}
	if opts.OnRetry == nil {
		opts.OnRetry = func(string, time.Duration) {}
	}
	if opts.Jitter == nil {
		opts.Jitter = rand.Float64
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{opts: opts, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}}
}

// response is an HTTP response.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// Submit obtains a submission ID, submits the job and retries until a final response
// arrives or ctx ends. The error is ErrNoFinalResponse, ErrNoAddress or ErrCorruptResponse; an error
// response of an entry is not an error but a Result.
func (c *Client) Submit(ctx context.Context, job []byte) (Result, error) {
	if len(c.opts.Addresses) == 0 {
		return Result{}, ErrNoAddress
	}
	s := &submission{client: c, job: job, known: Result{Ran: RanNo}}
	return s.run(ctx)
}

// submission is the state of one job's submission.
type submission struct {
	client *Client
	job    []byte
	id     string
	// known is the last known state of the job.
	known        Result
	attempts     int
	addressIndex int
	pause        time.Duration
}

func (s *submission) run(ctx context.Context) (Result, error) {
	for {
		r, err := s.attempt(ctx)
		if err != nil {
			if s.wait(ctx, "no response: "+err.Error(), s.backoff()) != nil {
				return s.known, ErrNoFinalResponse
			}
			continue
		}
		result, err := decodeResult(r.status, r.body)
		if err != nil {
			return s.known, err
		}
		result.Attempts = s.attempts
		if !s.shouldRetry(r, &result) {
			return result, nil
		}
		s.known = result
		if s.wait(ctx, result.Message, s.retryDelay(r.retryAfter)) != nil {
			return s.known, ErrNoFinalResponse
		}
	}
}

// attempt obtains a submission ID if there is none yet, then submits the job under it.
func (s *submission) attempt(ctx context.Context) (response, error) {
	if s.id == "" {
		r, err := s.send(ctx, http.MethodPost, "/v1/submissions", nil)
		if err != nil || r.status != http.StatusOK {
			return r, err
		}
		if s.id, err = decodeSubmissionID(r.body); err != nil {
			return response{}, err
		}
	}
	s.attempts++
	r, err := s.send(ctx, http.MethodPut, "/v1/submissions/"+s.id, s.job)
	if err != nil && s.known.Ran == RanNo {
		// The request may have been received although no response arrived.
		s.known = Result{Submission: s.id, Ran: RanUnknown, Message: "the answer was lost"}
	}
	return r, err
}

// shouldRetry reports whether the response asks for a retry.
func (s *submission) shouldRetry(r response, result *Result) bool {
	if r.retryAfter <= 0 {
		return false
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusAccepted:
	default:
		return false
	}
	if result.Code == codeDraining && result.Ran == RanNo {
		// The ID becomes invalid when its entry shuts down. The job has not run, so a new
		// ID can't make it run twice.
		s.id = ""
	}
	return true
}

// retryDelay returns the server's Retry-After plus jitter, which spreads the retries of clients
// that got the same value.
func (s *submission) retryDelay(retryAfter time.Duration) time.Duration {
	s.pause = 0
	return retryAfter + time.Duration(s.client.opts.Jitter()*float64(retryAfter)/4)
}

func (s *submission) backoff() time.Duration {
	s.addressIndex++
	s.pause = min(max(2*s.pause, initialBackoff), maxBackoff)
	return s.pause/2 + time.Duration(s.client.opts.Jitter()*float64(s.pause)/2)
}

func (s *submission) wait(ctx context.Context, reason string, pause time.Duration) error {
	s.client.opts.OnRetry(reason, pause)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *submission) send(ctx context.Context, method, path string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.opts.AttemptTimeout)
	defer cancel()
	addresses := s.client.opts.Addresses
	url := "http://" + addresses[s.addressIndex%len(addresses)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+s.client.opts.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, body: raw, retryAfter: retryAfter(resp.Header)}, nil
}

func decodeSubmissionID(body []byte) (string, error) {
	var issued struct {
		Submissions []string `json:"submissions"`
	}
	if err := json.Unmarshal(body, &issued); err != nil {
		return "", err
	}
	if len(issued.Submissions) == 0 {
		return "", fmt.Errorf("response contains no submission ID")
	}
	return issued.Submissions[0], nil
}
