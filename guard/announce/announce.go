// Package announce announces this guard to the entries. It discovers the first
// entries through the balancer addresses in the settings; each response lists all
// entries to announce to and the interval of the announcements.
package announce

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"

	"almondstand.dev/telemetry"
	wirev1 "almondstand.dev/wire/wirev1"
	"almondstand.dev/wire/wirev1/wirev1connect"
)

// ErrNotConfirmed is returned if some entry did not confirm an announcement in time.
var ErrNotConfirmed = errors.New("announce: an entry did not confirm the announcement")

const (
	callTimeout = 2 * time.Second
	// idleWait is the wait when no announcement is scheduled.
	idleWait = time.Minute
	// maxCalls bounds the number of concurrent announcements.
	maxCalls = 16
	// maxResponse bounds the size of a response, in bytes.
	maxResponse = 256 << 10
	controlKind = "announce"
	gzip        = "gzip"
)

// Options configure an Announcer.
type Options struct {
	// Balancers are the IP addresses and ports that lead to any of the entries.
	Balancers []string
	// NewRequest returns the announcement of the current state, or nil if there is
	// nothing to announce yet.
	NewRequest func() *wirev1.AnnounceRequest
	Secret     string
	Now        func() time.Time
	Rand       *rand.Rand
	Logger     *slog.Logger
	Scope      tally.Scope
	Control    *telemetry.ControlTraffic
}

// Announcer announces the guard to the entries periodically and after changes.
type Announcer struct {
	opts    Options
	wake    chan struct{}
	slots   chan struct{}
	sent    tally.Counter
	failed  tally.Counter
	entries tally.Gauge

	mu      sync.Mutex
	roster  *roster
	clients map[*target]*client
}

// client is the connection to one target.
type client struct {
	transport *http.Transport
	service   wirev1connect.EntryServiceClient
}

// New returns an announcer, which Run starts.
func New(opts Options) *Announcer {
	return &Announcer{
		opts:    opts,
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxCalls),
		sent:    opts.Scope.Counter("announcements"),
		failed:  opts.Scope.Counter("announcements_failed"),
		entries: opts.Scope.Gauge("entries"),
		roster:  newRoster(opts.Now(), opts.Balancers, opts.Rand),
		clients: map[*target]*client{},
	}
}

// AnnounceNow makes every announcement due immediately.
func (a *Announcer) AnnounceNow() {
	a.mu.Lock()
	a.roster.announceNow(a.opts.Now())
	a.mu.Unlock()
	a.wakeUp()
}

func (a *Announcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run announces until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer a.close()
	defer calls.Wait()
	for {
		due, wait := a.due()
		for _, t := range due {
			select {
			case a.slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			calls.Go(func() {
				defer func() { <-a.slots }()
				a.announce(ctx, t)
				a.wakeUp()
			})
		}
		if !a.sleep(ctx, wait) {
			return nil
		}
	}
}

// due returns the targets to announce to now, and the time to wait afterwards.
func (a *Announcer) due() ([]*target, time.Duration) {
	if a.opts.NewRequest() == nil {
		return nil, idleWait
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.Now()
	due, wake := a.roster.next(now)
	a.entries.Update(float64(len(a.roster.entries())))
	if wake.IsZero() {
		return due, idleWait
	}
	return due, wake.Sub(now)
}

func (a *Announcer) sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-a.wake:
		return true
	case <-timer.C:
		return true
	}
}

// AnnounceToAll announces the current state to every known entry at once and waits for
// the responses, retrying until ctx ends. A guard that is leaving uses it.
func (a *Announcer) AnnounceToAll(ctx context.Context) error {
	a.mu.Lock()
	known := a.roster.entries()
	a.mu.Unlock()
	confirmed := make(chan bool, len(known))
	for _, t := range known {
		go func() { confirmed <- a.announceUntilConfirmed(ctx, t) }()
	}
	var n int
	for range known {
		if <-confirmed {
			n++
		}
	}
	if n < len(known) {
		return ErrNotConfirmed
	}
	return nil
}

func (a *Announcer) announceUntilConfirmed(ctx context.Context, t *target) bool {
	for {
		if a.announce(ctx, t) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(firstRetry):
		}
	}
}

// announce sends one announcement and records its outcome.
func (a *Announcer) announce(ctx context.Context, t *target) bool {
	resp, err := a.call(ctx, t)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.opts.Now()
	if err != nil {
		a.failed.Inc(1)
		if t.failures == 0 && ctx.Err() == nil {
			eventFailed.Log(ctx, a.opts.Logger, slog.String("target", t.id), slog.String("address", t.address), slog.String("cause", err.Error()))
		}
		a.roster.failed(now, t)
		// The connection may be dead without having been closed, while new ones
		// work.
		a.discard(t)
		return false
	}
	a.sent.Inc(1)
	if t.failures > 0 {
		eventRecovered.Log(ctx, a.opts.Logger, slog.String("target", t.id))
	}
	c := a.roster.responded(now, t, resp)
	for _, added := range c.attached {
		eventAttached.Log(ctx, a.opts.Logger, slog.String("entry", added.id), slog.String("address", added.address), slog.Uint64("incarnation", added.incarnation))
	}
	for _, removed := range c.detached {
		eventDetached.Log(ctx, a.opts.Logger, slog.String("entry", removed.id))
	}
	a.closeRemoved()
	return true
}

func (a *Announcer) call(ctx context.Context, t *target) (*wirev1.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := a.opts.NewRequest()
	if m == nil {
		return nil, errors.New("nothing to announce")
	}
	req := connect.NewRequest(m)
	if a.opts.Secret != "" {
		req.Header().Set("Authorization", "Bearer "+a.opts.Secret)
	}
	resp, err := a.client(t).Announce(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (a *Announcer) client(t *target) wirev1connect.EntryServiceClient {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.clients[t]; c != nil {
		return c.service
	}
	transport := newTransport()
	// A balancer forwards all requests of a kept connection to the same entry.
	transport.DisableKeepAlives = t.balancer
	counted := a.opts.Control.Transport(transport, func(*http.Request) string { return controlKind })
	c := &client{
		transport: transport,
		service: wirev1connect.NewEntryServiceClient(&http.Client{Transport: counted}, "http://"+t.address,
			connect.WithAcceptCompression(gzip, nil, nil),
			connect.WithReadMaxBytes(maxResponse)),
	}
	a.clients[t] = c
	return c.service
}

func newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: &protocols, IdleConnTimeout: 2 * maxInterval}
}

// discard closes the connection to a target; the next call opens a new one.
func (a *Announcer) discard(t *target) {
	if c := a.clients[t]; c != nil {
		delete(a.clients, t)
		c.transport.CloseIdleConnections()
	}
}

// closeRemoved closes the connections to targets that have been removed.
func (a *Announcer) closeRemoved() {
	for t := range a.clients {
		if a.roster.targets[t.id] != t {
			a.discard(t)
		}
	}
}

func (a *Announcer) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for t := range a.clients {
		a.discard(t)
	}
}
