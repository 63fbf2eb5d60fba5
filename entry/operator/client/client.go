// Package client is a client of the operators' API of entries.
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

// Errors of a call without a valid response.
var (
	// ErrNoAddress means that Options has no address, or that the entry advertises
	// none for operators.
	ErrNoAddress = errors.New("no operators' address given")
	// ErrUnreachable means that none of the addresses answered.
	ErrUnreachable = errors.New("no entry answers")
	// ErrInvalidResponse means that the response could not be decoded.
	ErrInvalidResponse = errors.New("invalid response")
)

const (
	// DefaultTimeout is the default timeout of a call. It is longer than an entry
	// waits for the outcome of a change.
	DefaultTimeout   = 15 * time.Second
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 256 << 20 // bytes
)

// Failure is the error of a call that was answered with an error body.
type Failure struct {
	Status int
	operator.ErrorBody
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%d %s)", f.ErrorBody.Error.Message, f.Status, f.ErrorBody.Error.Code)
}

// Code returns the code in the error body.
func (f *Failure) Code() operator.Code { return f.ErrorBody.Error.Code }

// IsCode reports whether err is or wraps a Failure with the given code.
func IsCode(err error, code operator.Code) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code() == code
}

// Options configures a Client.
type Options struct {
	// Addresses are the addresses of entries or of a load balancer, in the form
	// IP:port. They are tried in order until one answers.
	Addresses []string
	Token     string
	// Timeout is the timeout of a call over all addresses; default
	// DefaultTimeout.
	Timeout time.Duration
}

// Client calls the operators' API.
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

// WithAddress returns a copy of the client that calls only the given address.
func (c *Client) WithAddress(address string) *Client {
	copied := *c
	copied.opts.Addresses = []string{address}
	return &copied
}

// Contracts lists the contracts in force.
func (c *Client) Contracts(ctx context.Context) (operator.ContractList, error) {
	return get[operator.ContractList](ctx, c, "/v1/contracts")
}

// Contract returns the contract in force of a client account.
func (c *Client) Contract(ctx context.Context, clientID string) (contracts.Version, error) {
	return get[contracts.Version](ctx, c, contractPath(clientID))
}

// History returns the stored versions of a client account's contract.
func (c *Client) History(ctx context.Context, clientID string) (operator.History, error) {
	return get[operator.History](ctx, c, contractPath(clientID)+"/history")
}

// Entries lists the live entries.
func (c *Client) Entries(ctx context.Context) (operator.Entries, error) {
	return get[operator.Entries](ctx, c, "/v1/entries")
}

// Burn returns the burn snapshot of one entry.
func (c *Client) Burn(ctx context.Context, withSeries bool) (burn.Snapshot, error) {
	return get[burn.Snapshot](ctx, c, "/v1/burn?series="+strconv.FormatBool(withSeries))
}

// Control returns the resource usage and control traffic of one entry.
func (c *Client) Control(ctx context.Context) (operator.Control, error) {
	return get[operator.Control](ctx, c, "/v1/control")
}

// Apply writes a contract. It is idempotent: a repeated call with the same expect
// value succeeds if the change was already made.
func (c *Client) Apply(ctx context.Context, k contract.Contract, expect contracts.Precondition) (operator.ChangeResult, error) {
	body, err := k.Encode()
	if err != nil {
		return operator.ChangeResult{}, err
	}
	return call[operator.ChangeResult](ctx, c, http.MethodPut, contractPath(k.Client), body, expectHeader(expect))
}

// Retire retires the contract of a client account.
func (c *Client) Retire(ctx context.Context, clientID string, expect contracts.Precondition) (operator.ChangeResult, error) {
	return call[operator.ChangeResult](ctx, c, http.MethodPost, contractPath(clientID)+"/retire", nil, expectHeader(expect))
}

func contractPath(clientID string) string { return "/v1/contracts/" + url.PathEscape(clientID) }

func expectHeader(e contracts.Precondition) http.Header {
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

// call tries the addresses in order until one returns any response, including an
// error.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, header http.Header) (T, error) {
	var out T
	if len(c.opts.Addresses) == 0 {
		return out, ErrNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var lastErr error
	for _, address := range c.opts.Addresses {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return out, fmt.Errorf("%w: address %q is not in the form IP:port", ErrUnreachable, address)
		}
		if header != nil {
			req.Header = header.Clone()
		}
		req.Header.Set("Authorization", "Bearer "+c.opts.Token)
		raw, status, err := c.do(req)
		if err != nil {
			lastErr = err
			continue
		}
		return decodeResponse[T](raw, status)
	}
	return out, fmt.Errorf("%w: %w", ErrUnreachable, lastErr)
}

func (c *Client) do(req *http.Request) ([]byte, int, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return raw, resp.StatusCode, err
}

func decodeResponse[T any](raw []byte, status int) (T, error) {
	var out T
	if status == http.StatusOK {
		if err := json.Unmarshal(raw, &out); err != nil {
			return out, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		return out, nil
	}
	f := &Failure{Status: status}
	if json.Unmarshal(raw, &f.ErrorBody) != nil || f.Code() == "" {
		return out, fmt.Errorf("%w: status %d; check that this is the operators' address of an entry", ErrInvalidResponse, status)
	}
	return out, f
}
