// Package client calls the operators' interface of entries.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"almondstand.dev/contract"
	"almondstand.dev/entry/burn"
	"almondstand.dev/entry/contracts"
	"almondstand.dev/entry/operator"
)

// Errors of a call that got no answer.
var (
	// ErrNoAddress means that no address was given.
	ErrNoAddress = errors.New("no operators' address given")
	// ErrUnreachable means that no address answered.
	ErrUnreachable = errors.New("no entry answers")
	// ErrAnswer means that an answer can't be read.
	ErrAnswer = errors.New("answer can't be read")
)

const (
	// DefaultTimeout bounds one call; it is longer than an entry waits for the
	// outcome of a change.
	DefaultTimeout = 15 * time.Second
	dialTimeout    = 2 * time.Second
	maxAnswer      = 256 << 20 // bytes
)

// Failure is an answer that is not a success.
type Failure struct {
	Status int
	operator.ErrorBody
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%d %s)", f.ErrorBody.Error.Message, f.Status, f.ErrorBody.Error.Code)
}

// Code returns the failure's code.
func (f *Failure) Code() operator.Code { return f.ErrorBody.Error.Code }

// IsCode reports whether err is a Failure with the code.
func IsCode(err error, code operator.Code) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code() == code
}

// Options of a Client.
type Options struct {
	// Addresses are IP and port of entries, or of a balancer; they are tried in
	// order until one answers.
	Addresses []string
	Token     string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Client calls the operators' interface.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{opts: opts, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}}
}

// At returns a client for one other address.
func (c *Client) At(address string) *Client {
	other := *c
	other.opts.Addresses = []string{address}
	return &other
}

// Contracts lists the contracts in force.
func (c *Client) Contracts(ctx context.Context) (operator.ContractList, error) {
	return get[operator.ContractList](ctx, c, "/v1/contracts")
}

// Contract returns a customer's contract in force.
func (c *Client) Contract(ctx context.Context, customer string) (contracts.Version, error) {
	return get[contracts.Version](ctx, c, contractPath(customer))
}

// History returns the kept versions of a customer's contract.
func (c *Client) History(ctx context.Context, customer string) (operator.History, error) {
	return get[operator.History](ctx, c, contractPath(customer)+"/history")
}

// Entries lists the live entries.
func (c *Client) Entries(ctx context.Context) (operator.Entries, error) {
	return get[operator.Entries](ctx, c, "/v1/entries")
}

// Burn returns one entry's counts.
func (c *Client) Burn(ctx context.Context, withSeries bool) (burn.Snapshot, error) {
	return get[burn.Snapshot](ctx, c, "/v1/burn?series="+strconv.FormatBool(withSeries))
}

// Control returns one entry's use and control traffic.
func (c *Client) Control(ctx context.Context) (operator.Control, error) {
	return get[operator.Control](ctx, c, "/v1/control")
}

// Apply writes a contract. It may be repeated with the same expectation: a
// repeat of a change that was made succeeds.
func (c *Client) Apply(ctx context.Context, k contract.Contract, expect contracts.Expect) (operator.Changed, error) {
	body, err := k.Encode()
	if err != nil {
		return operator.Changed{}, err
	}
	return call[operator.Changed](ctx, c, http.MethodPut, contractPath(k.Customer), body, expectHeader(expect))
}

// Retire ends a contract.
func (c *Client) Retire(ctx context.Context, customer string, expect contracts.Expect) (operator.Changed, error) {
	return call[operator.Changed](ctx, c, http.MethodPost, contractPath(customer)+"/retire", nil, expectHeader(expect))
}

func contractPath(customer string) string { return "/v1/contracts/" + url.PathEscape(customer) }

func expectHeader(e contracts.Expect) http.Header {
	switch {
	case e.AnyRevision:
		return http.Header{"If-Match": {"*"}}
	case e.Revision == 0:
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + strconv.FormatInt(e.Revision, 10) + `"`}}
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil, nil)
}

// call tries the addresses in order. An answer of any kind ends it.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, header http.Header) (T, error) {
	var out T
	if len(c.opts.Addresses) == 0 {
		return out, ErrNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var last error
	for _, address := range c.opts.Addresses {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return out, fmt.Errorf("%w: address %q: write IP:port", ErrUnreachable, address)
		}
		if header != nil {
			req.Header = header.Clone()
		}
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
		raw, status, err := c.do(req)
		if err != nil {
			last = err
			continue
		}
		return read[T](raw, status)
	}
	return out, fmt.Errorf("%w: %w", ErrUnreachable, last)
}

func (c *Client) do(req *http.Request) ([]byte, int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return raw, resp.StatusCode, err
}

func read[T any](raw []byte, status int) (T, error) {
	var out T
	if status == http.StatusOK {
		if err := json.Unmarshal(raw, &out); err != nil {
			return out, fmt.Errorf("%w: %w", ErrAnswer, err)
		}
		return out, nil
	}
	f := &Failure{Status: status}
	if json.Unmarshal(raw, &f.ErrorBody) != nil || f.Code() == "" {
		return out, fmt.Errorf("%w: status %d: is this the operators' address of an entry?", ErrAnswer, status)
	}
	return out, f
}
