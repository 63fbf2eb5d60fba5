package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"almondstand.dev/dispatch/planner"
	"almondstand.dev/telemetry/uptime"
	"almondstand.dev/wire/fleetwire"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Entry is the id of this entry.
	Entry string
	// Incarnation is the start time of this process in nanoseconds.
	Incarnation uint64
	Logger      *slog.Logger
	Scope       tally.Scope
	// BeforeSend is called before each message. It ends the contexts of jobs whose callers have
	// disconnected, so that they are not sent, or are cancelled with the message: this entry may have been
	// stalled, and its messages let the jobs go on. nil if the contexts alone decide.
	BeforeSend func()
}

// errShutDown ends the streams when Run's context ends.
var errShutDown = errors.New("handover: this entry shuts down")

// Client hands jobs over to other entries. It has one stream to each of them while jobs are in flight
// there, and some seconds longer. It is safe for concurrent use.
type Client struct {
	opt     ClientOptions
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelCauseFunc
	running sync.WaitGroup

	mu sync.Mutex
	// streams are the newest streams by the address of their entry.
	streams map[string]*clientStream
	closed  bool
}

// NewClient returns a client without streams.
func NewClient(o ClientOptions) *Client {
	c := &Client{opt: o, metrics: newMetrics(o.Scope, sideOut), streams: map[string]*clientStream{}}
	if o.Logger == nil {
		c.opt.Logger = slog.New(slog.DiscardHandler)
	}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// Run waits until ctx ends, and then ends all streams. Jobs are not handed over after that. Streams
// without jobs close by themselves.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel(errShutDown)
	c.running.Wait()
	return nil
}

// HandOver hands a job over to the entry at an address and returns its answer. It returns
//   - ErrNotTaken if the job was not sent, or if the other entry has not taken it;
//   - ErrLost if the stream ended after the job was passed to it for sending, or if an earlier submission
//     of the job is not answered yet on the stream;
//   - the context's error if the context ended first. A job that was not sent by then is not sent at all,
//     one that was sent is cancelled.
func (c *Client) HandOver(ctx context.Context, address string, j Job) (planner.Answer, error) {
	h := &handedJob{ctx: ctx, job: j, queuedAt: uptime.Now(), done: make(chan result, 1)}
	s, err := c.enqueue(address, h)
	if err != nil {
		return planner.Answer{}, err
	}
	select {
	case r := <-h.done:
		return r.answer, r.err
	case <-ctx.Done():
		s.leave(h)
	}
	select {
	case r := <-h.done:
		// The answer was there before the caller left the stream.
		return r.answer, r.err
	default:
		return planner.Answer{}, ctx.Err()
	}
}

// enqueue passes a job to the stream of an address, which it opens if there is none.
func (c *Client) enqueue(address string, h *handedJob) (*clientStream, error) {
	message, err := toJob(h.job)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	h.message = message
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[address]; s != nil {
		if accepted, err := s.enqueue(h); accepted || err != nil {
			return s, err
		}
	}
	if c.closed {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, errShutDown)
	}
	if _, err := fleetwire.EntryAddress(address); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	s := newClientStream(c, address)
	if _, err := s.enqueue(h); err != nil {
		return nil, err
	}
	c.streams[address] = s
	c.running.Go(s.run)
	return s, nil
}

// remove removes a stream that accepts no more jobs.
func (c *Client) remove(s *clientStream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.address] == s {
		delete(c.streams, s.address)
	}
}
